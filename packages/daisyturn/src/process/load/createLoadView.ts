import { type Clock, type EventLog, type JsonObject, toJson } from "daisyturn-utils";
import { setMaxListeners } from "node:events";
import type { Engine } from "../../ports/engine.js";
import {
    createLoadExchange,
    ExchangeSection,
    type LoadExchange,
    type Membership,
    type PeerNetwork,
    type ProcessIdentity,
} from "../peers/index.js";
import type { TargetDirectory } from "../targets/index.js";
import { type CacheIndex, createCacheIndex } from "./cacheIndex.js";
import { createEngineLoad, type EngineLoad, type FinishedWork, type SentWork } from "./engineLoad.js";
import { createUnpublishedPeerWork } from "./unpublishedPeerWork.js";

/** Handle of work that this process has sent. Either `end` or `withdraw` must be called once. */
export interface SentWorkHandle {
    /** Sets the id under which the engine's reports list the stream. */
    setStreamId(streamId: string): void;
    /** Records that the work ran and has ended. */
    end(): void;
    /** Records that the engine did not accept the work. */
    withdraw(): void;
}

/** Estimated loads of the engines. */
export interface LoadView {
    /** Polls the engines and publishes the sent work to the peers until `signal` is aborted. */
    run(signal: AbortSignal): Promise<void>;
    /** Engines whose last report is recent enough to use. An engine's id is its target's name. */
    loads(): readonly EngineLoad[];
    find(engineId: string): EngineLoad | undefined;
    /** Estimated contents of the engines' prefix caches. */
    readonly caches: CacheIndex;
    /** Records work that is about to be sent. */
    recordSent(work: Omit<SentWork, "sentAt">): SentWorkHandle;
    /** Exchange of digests between the processes; other modules register their own sections. */
    readonly exchange: LoadExchange;
    /** Mean milliseconds of prefill per engine that peers have probably sent since their last digests. */
    estimateUnpublishedPeerWait(): number;
    /** Number of processes that send work to the engines, including this one. */
    countProcesses(): number;
    /** Registers a listener that is called after each report received from an engine. */
    onReport(listener: (load: EngineLoad) => void): void;
}

/** What {@link createLoadView} needs. */
export interface LoadViewOptions {
    readonly targets: TargetDirectory;
    readonly network: PeerNetwork;
    readonly membership: Membership;
    readonly clock: Clock;
    readonly eventLog: EventLog;
    /** Interval at which each engine is polled for its load. */
    readonly reportIntervalMilliseconds: number;
    /** Longest time until sent work is published to the peers; 100 ms by default. */
    readonly exchangeIntervalMilliseconds?: number;
}

/**
 * Older reports are not used. The limit is a few times the delay of a busy engine or VM: with 1.5 s, a VM under heavy
 * load during a rolling restart had no usable engine and refused its callers.
 */
const maxReportAgeMilliseconds = 3_500;
/** Time limit of each read. It is longer than the interval, or no read of a slow engine would succeed. */
const readTimeoutMilliseconds = 2_000;
/** Cache events and states are read only in every n-th polling round. */
const roundsPerCacheRead = 2;
const roundsPerStateRead = 10;
const defaultExchangeIntervalMilliseconds = 100;
/** Limit of the sent and of the ended work items in one digest. The engines' reports cover the rest. */
const maxPublishedWork = 200;

interface SentWorkSection {
    readonly sent: readonly SentWork[];
    readonly ended: readonly FinishedWork[];
}

/** Creates the view, which receives reports and digests only while `run` is running. */
export function createLoadView(options: LoadViewOptions): LoadView {
    const { targets, clock, reportIntervalMilliseconds } = options;
    const exchangeIntervalMilliseconds = options.exchangeIntervalMilliseconds ?? defaultExchangeIntervalMilliseconds;
    const exchange = createLoadExchange({ ...options, exchangeIntervalMilliseconds });
    const unpublishedPeerWork = createUnpublishedPeerWork({ ...options, exchange });
    const known = new Map<string, EngineLoad>();
    const caches = createCacheIndex();
    const polled = new Set<string>();
    const listeners: ((load: EngineLoad) => void)[] = [];
    let sent: SentWork[] = [];
    let ended: FinishedWork[] = [];

    const ensureLoad = (engineId: string) => {
        const found = known.get(engineId);
        if (found) {
            return found;
        }
        const load = createEngineLoad(engineId, caches.view(engineId), clock);
        known.set(engineId, load);
        return load;
    };

    const readLoad = async (engine: Engine, load: EngineLoad, deadline: number) => {
        const result = await engine.readLoad(deadline);
        if (result.isOk) {
            load.applyReport(result.value);
            listeners.forEach(listener => listener(load));
        }
    };

    const readCacheEvents = async (engine: Engine, load: EngineLoad, deadline: number) => {
        const result = await engine.readCacheEvents(load.cache.cursor(), deadline);
        if (result.isOk) {
            load.cache.apply(result.value);
        }
    };

    const readState = async (engine: Engine, load: EngineLoad, deadline: number) => {
        const result = await engine.readState(deadline);
        if (result.isOk) {
            load.applyState(result.value);
        }
    };

    /** Starts the reads of one round together, so that a slow read does not delay the load report. */
    const pollOnce = async (engine: Engine, load: EngineLoad, round: number, deadline: number) => {
        const reads = [readLoad(engine, load, deadline)];
        if (round % roundsPerCacheRead === 0) {
            reads.push(readCacheEvents(engine, load, deadline));
        }
        if (round % roundsPerStateRead === 0) {
            reads.push(readState(engine, load, deadline));
        }
        await Promise.all(reads);
    };

    const pollEngine = async (engine: Engine, signal: AbortSignal) => {
        const load = ensureLoad(engine.engineId);
        for (let round = 0; !signal.aborted && targets.engine(engine.engineId) === engine; round++) {
            const next = clock.monotonicNow() + reportIntervalMilliseconds;
            await pollOnce(engine, load, round, clock.monotonicNow() + readTimeoutMilliseconds);
            await clock.sleepUntil(next, signal);
        }
        polled.delete(engine.engineId);
        if (!targets.engine(engine.engineId)) {
            known.delete(engine.engineId);
            caches.removeEngine(engine.engineId);
        }
    };

    const pollEngines = async (signal: AbortSignal) => {
        const polls = new Set<Promise<void>>();
        while (!signal.aborted) {
            for (const engine of targets.engines().filter(other => !polled.has(other.engineId))) {
                polled.add(engine.engineId);
                const poll = pollEngine(engine, signal).finally(() => polls.delete(poll));
                polls.add(poll);
            }
            await clock.sleepUntil(clock.monotonicNow() + reportIntervalMilliseconds, signal);
        }
        await Promise.all(polls);
    };

    const recordSent = (work: Omit<SentWork, "sentAt">): SentWorkHandle => {
        const timed: SentWork = { ...work, sentAt: clock.wallNow() };
        let isOpen = true;
        ensureLoad(work.engineId).recordSent(timed);
        sent.push(timed);
        const finish = (unstartedPrefillTokens: number) => {
            if (!isOpen) {
                return;
            }
            isOpen = false;
            const { engineId, kvTokens, decodes } = work;
            const finished: FinishedWork = {
                engineId,
                kvTokens,
                decodes,
                unstartedPrefillTokens,
                endedAt: clock.wallNow(),
            };
            known.get(engineId)?.recordFinished(finished);
            ended.push(finished);
        };
        return {
            setStreamId: streamId => {
                timed.streamId = streamId;
            },
            end: () => finish(0),
            withdraw: () => finish(work.prefillTokens),
        };
    };

    const collect = (): JsonObject | undefined => {
        const section: SentWorkSection = { sent: sent.slice(-maxPublishedWork), ended: ended.slice(-maxPublishedWork) };
        sent = [];
        ended = [];
        return section.sent.length + section.ended.length > 0 ? toJson(section) : undefined;
    };

    const receive = (content: JsonObject, from: ProcessIdentity) => {
        const section = content as unknown as SentWorkSection;
        for (const work of section.sent) {
            const load = known.get(work.engineId);
            load?.recordSent(work);
            unpublishedPeerWork.recordPublished(
                from.processId,
                work.prefillTokens / (load?.prefillPerMillisecond() ?? Infinity),
            );
        }
        section.ended.forEach(work => known.get(work.engineId)?.recordFinished(work));
    };

    const loads = () => {
        const minReportedAt = clock.monotonicNow() - maxReportAgeMilliseconds;
        return [...known.values()].filter(load => (load.reportedAt() ?? -Infinity) >= minReportedAt);
    };

    exchange.register({
        section: ExchangeSection.SentWork,
        isUrgent: () => sent.length > 0,
        collect,
        receive,
    });
    return {
        run: async signal => {
            // Each engine's poll adds a listener to the signal, so the default limit of listeners does not apply.
            setMaxListeners(0, signal);
            await Promise.all([pollEngines(signal), exchange.run(signal)]);
        },
        loads,
        find: engineId => known.get(engineId),
        caches,
        recordSent,
        estimateUnpublishedPeerWait: () => unpublishedPeerWork.estimatePrefillMilliseconds() / Math.max(1, known.size),
        countProcesses: () => 1 + options.membership.livePeers().length,
        exchange,
        onReport: listener => listeners.push(listener),
    };
}

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

/** Work that this process has sent; one of the endings must be called once. */
export interface SentWorkHandle {
    /** Tells the stream's id, by which an engine's report can name it. */
    setStreamId(streamId: string): void;
    /** The work ran and has ended. */
    end(): void;
    /** The engine never took the work. */
    withdraw(): void;
}

/** What this process knows of the engines' loads. */
export interface LoadView {
    /** Polls the engines and tells the peers what was sent, until `signal` is aborted. */
    run(signal: AbortSignal): Promise<void>;
    /** Engines that have reported lately. An engine's id is its target's name. */
    loads(): readonly EngineLoad[];
    find(engineId: string): EngineLoad | undefined;
    /** What the engines' prefix caches are thought to hold. */
    readonly caches: CacheIndex;
    /** Counts work that is about to be sent. */
    recordSent(work: Omit<SentWork, "sentAt">): SentWorkHandle;
    /** What the processes tell each other; other modules add their parts. */
    readonly exchange: LoadExchange;
    /** Milliseconds of prefill for each engine that peers have probably sent since they last told. */
    estimateUnpublishedPeerWait(): number;
    /** Processes that send to the engines, this one included. */
    countProcesses(): number;
    /** Called after each report that was taken in. */
    onReport(listener: (load: EngineLoad) => void): void;
}

/** What {@link createLoadView} needs. */
export interface LoadViewOptions {
    readonly targets: TargetDirectory;
    readonly network: PeerNetwork;
    readonly membership: Membership;
    readonly clock: Clock;
    readonly eventLog: EventLog;
    /** How often an engine is asked for its load. */
    readonly reportIntervalMilliseconds: number;
    /** How long peers wait at most to be told of a send; a tenth of a second if absent. */
    readonly exchangeIntervalMilliseconds?: number;
}

/**
 * A report older than this says nothing any more. A few times what a busy engine or a busy VM may take: with one and a
 * half seconds, a VM under heavy load saw no engine at all and refused its callers (seen in the rolling restart).
 */
const usableMilliseconds = 3_500;
/** An engine has so long to tell its load; longer than the interval, or a slow engine would never be heard. */
const readLimitMilliseconds = 2_000;
/** Cache events and states are read in every n-th round only. */
const roundsPerCacheRead = 2;
const roundsPerStateRead = 10;
const defaultExchangeIntervalMilliseconds = 100;
/** Work told to the peers in one round, at most; they learn of the rest by the engines' reports. */
const maximumToldWork = 200;

interface SentWorkSection {
    readonly sent: readonly SentWork[];
    readonly ended: readonly FinishedWork[];
}

/** Creates the view; `run` must be running for it to learn anything. */
export function createLoadView(options: LoadViewOptions): LoadView {
    const { targets, clock, reportIntervalMilliseconds } = options;
    const exchangeIntervalMilliseconds = options.exchangeIntervalMilliseconds ?? defaultExchangeIntervalMilliseconds;
    const exchange = createLoadExchange({ ...options, exchangeIntervalMilliseconds });
    const unpublished = createUnpublishedPeerWork({ ...options, exchange });
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

    /** The reads of one round go out together: a slow one must not make the load report later. */
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
            await pollOnce(engine, load, round, clock.monotonicNow() + readLimitMilliseconds);
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
        ensureLoad(work.engineId).add(timed);
        sent.push(timed);
        const finish = (unstartedPrefillTokens: number) => {
            if (!isOpen) {
                return;
            }
            isOpen = false;
            const { engineId, kvTokens, decodes } = work;
            const end: FinishedWork = { engineId, kvTokens, decodes, unstartedPrefillTokens, endedAt: clock.wallNow() };
            known.get(engineId)?.end(end);
            ended.push(end);
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
        const section: SentWorkSection = { sent: sent.slice(-maximumToldWork), ended: ended.slice(-maximumToldWork) };
        sent = [];
        ended = [];
        return section.sent.length + section.ended.length > 0 ? toJson(section) : undefined;
    };

    const receive = (content: JsonObject, from: ProcessIdentity) => {
        const section = content as unknown as SentWorkSection;
        for (const work of section.sent) {
            const load = known.get(work.engineId);
            load?.add(work);
            unpublished.recordPublished(
                from.processId,
                work.prefillTokens / (load?.prefillPerMillisecond() ?? Infinity),
            );
        }
        section.ended.forEach(work => known.get(work.engineId)?.end(work));
    };

    const loads = () => {
        const oldest = clock.monotonicNow() - usableMilliseconds;
        return [...known.values()].filter(load => (load.reportedAt() ?? -Infinity) >= oldest);
    };

    exchange.register({
        section: ExchangeSection.SentWork,
        isUrgent: () => sent.length > 0,
        collect,
        receive,
    });
    return {
        run: async signal => {
            // One listener per engine waits on the signal; that many are meant.
            setMaxListeners(0, signal);
            await Promise.all([pollEngines(signal), exchange.run(signal)]);
        },
        loads,
        find: engineId => known.get(engineId),
        caches,
        recordSent,
        estimateUnpublishedPeerWait: () => unpublished.estimatePrefillMilliseconds() / Math.max(1, known.size),
        countProcesses: () => 1 + options.membership.livePeers().length,
        exchange,
        onReport: listener => listeners.push(listener),
    };
}

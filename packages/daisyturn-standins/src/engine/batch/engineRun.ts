import {
    type CacheEventPage,
    type EngineOrder,
    type EngineState,
    GeneratePart,
    type GenerateRequest,
    type KvHandle,
    type LoadReport,
    type OrderAnswer,
    StreamEventKind,
} from "daisyturn";
import { type Clock, createSeededRandom, type Failure, FailureReason, mayHaveRun, notRun } from "daisyturn-utils";
import Result from "true-myth/result";
import { createCacheEventLog } from "../cache/cacheEventLog.js";
import { createKvExports, type KvExport } from "../cache/kvExports.js";
import { importKv, type KvImporter } from "../cache/kvImport.js";
import { createPrefixCache } from "../cache/prefixCache.js";
import { findRefusal, findRequestFault } from "../checkRequest.js";
import { describeEngineState, measureEngineLoad } from "../describeEngine.js";
import type { EngineFaults } from "../engineFaults.js";
import type { EngineSettings } from "../engineOptions.js";
import { createEngineStream, type EngineStream, flushStream, type StreamReader } from "../engineStream.js";
import { createOrderDesk, type OrderDesk } from "../orderDesk.js";
import { createBatchScheduler } from "./batchScheduler.js";
import { createLoadHistory } from "./loadHistory.js";
import { createStreamTable } from "./streamTable.js";

/** Longest real sleep of the task that steps, in milliseconds; timers can't be set for ever. */
const longestSleep = 60_000;

/** What one run of the engine's process is made of. */
export interface EngineRunOptions {
    readonly settings: EngineSettings;
    readonly clock: Clock;
    readonly incarnation: string;
    readonly faults: EngineFaults;
    readonly importer: KvImporter;
    /** Address from which other engines fetch KV caches. */
    readonly address: () => string;
    readonly highestFencingNumber: number;
    readonly startsStuck: boolean;
    readonly crash: () => void;
}

/** One run of the engine's process, from its start to its end. */
export interface EngineRun {
    readonly incarnation: string;
    readonly desk: OrderDesk;
    /** Takes work in; the stream is then read by `attach`. */
    generate(request: GenerateRequest): Promise<Result<EngineStream, Failure>>;
    /** A stream that runs or ended lately. */
    find(streamId: string, offset: number): Result<EngineStream, Failure>;
    attach(stream: EngineStream, reader: StreamReader): void;
    cancel(streamId: string): void;
    order(order: EngineOrder): OrderAnswer;
    describeState(): EngineState;
    describeLoad(): LoadReport;
    readCacheEvents(cursor: number): CacheEventPage;
    findExport(handleId: string): KvExport | undefined;
    releaseExport(handleId: string): void;
    /** Ends at once: streams are cut and forgotten. */
    end(): void;
}

/** Starts one run of the engine. */
export function createEngineRun(options: EngineRunOptions): EngineRun {
    const { settings, clock, incarnation } = options;
    const startedAt = clock.monotonicNow();
    const stopper = new AbortController();
    const dirty = new Set<EngineStream>();
    const cache = createPrefixCache(settings.prefixCacheBlocks);
    const history = createLoadHistory(settings.loadLagMilliseconds / settings.speed);
    const cacheEvents = createCacheEventLog({
        incarnation,
        random: createSeededRandom(settings.seed),
        delayMilliseconds: settings.cacheEventDelayMilliseconds,
        loss: settings.cacheEventLoss,
    });
    let sleeper = new AbortController();
    let caughtUpAt = startedAt;

    const simulatedNow = () => (clock.monotonicNow() - startedAt) * settings.speed;
    const pause = (simulated: number) =>
        clock.sleepUntil(clock.monotonicNow() + simulated / settings.speed, stopper.signal);

    const scheduler = createBatchScheduler(settings, cache, {
        progressed: stream => dirty.add(stream),
        prefilled: (stream, now) => cacheEvents.append(cache.store(stream.request.promptBlocks), now),
        ended: (stream, now) => {
            if (stream.request.part === GeneratePart.Prefill && stream.end?.kind === StreamEventKind.End) {
                stream.end = { ...stream.end, kvHandle: describeHandle(kvExports.add(stream, now)) };
            }
        },
    });
    const kvExports = createKvExports(settings.exportMilliseconds, tokens => scheduler.holdKv(tokens));
    const table = createStreamTable(settings, streamId => scheduler.remove(streamId));

    const describeHandle = ({ handleId, tokenCount }: KvExport): KvHandle => ({
        engineId: settings.id,
        address: options.address(),
        handleId,
        tokenCount,
    });

    /** Brings the simulation to the present and writes what came of it. */
    const catchUp = () => {
        scheduler.advanceTo(simulatedNow());
        const monotonicNow = clock.monotonicNow();
        dirty.forEach(stream => flushStream(stream, monotonicNow));
        dirty.clear();
        caughtUpAt = monotonicNow;
    };

    /** Makes the task that steps look again at when its next step ends. */
    const wakeStepping = () => sleeper.abort();

    const stepUntilEnded = async () => {
        while (!stopper.signal.aborted) {
            sleeper = new AbortController();
            const nextEventAt = scheduler.nextEventAt();
            const dueAt = nextEventAt === undefined ? Infinity : startedAt + nextEventAt / settings.speed;
            const earliest = caughtUpAt + settings.flushRealMilliseconds;
            await clock.sleepUntil(
                Math.min(Math.max(dueAt, earliest), clock.monotonicNow() + longestSleep),
                sleeper.signal,
            );
            if (!sleeper.signal.aborted) {
                catchUp();
            }
        }
    };

    const measureLoad = () =>
        measureEngineLoad(settings, incarnation, desk, scheduler.counts(), table.streamIds, clock.wallNow());

    const sampleUntilEnded = async () => {
        const sampleInterval = Math.max(
            settings.loadSampleMilliseconds / settings.speed,
            settings.flushRealMilliseconds,
        );
        // Waiting lines are due in real time, however slowly the simulated time goes by.
        const interval = Math.min(sampleInterval, settings.waitingRealMilliseconds / 2);
        while (!stopper.signal.aborted) {
            kvExports.expire(simulatedNow());
            catchUp();
            table.tidy({ simulated: simulatedNow(), monotonic: clock.monotonicNow(), wall: clock.wallNow() });
            wakeStepping();
            history.record(measureLoad());
            await clock.sleepUntil(clock.monotonicNow() + interval, stopper.signal);
        }
    };

    const generate = async (request: GenerateRequest): Promise<Result<EngineStream, Failure>> => {
        const imported = await importKv(options.importer, request);
        if (imported.isErr) {
            return Result.err(imported.error);
        }
        if (table.has(request.streamId)) {
            return Result.err(mayHaveRun(FailureReason.AlreadyRunning, "The stream's id was used before."));
        }
        if (table.wasCancelled(request.streamId)) {
            return Result.err(notRun(FailureReason.Cancelled, "The stream was cancelled before it was asked for."));
        }
        const stream = createEngineStream(request);
        const refusal = findRefusal(desk, request) ?? findRequestFault(stream, settings);
        if (refusal) {
            return Result.err(refusal);
        }
        return submit(stream, imported.value);
    };

    const submit = (stream: EngineStream, importedTokens: number): Result<EngineStream, Failure> => {
        catchUp();
        const transfer = importedTokens === 0
            ? 0
            : settings.transferBaseMilliseconds + importedTokens / settings.transferTokensPerMillisecond;
        if (!scheduler.submit(stream, importedTokens, simulatedNow() + transfer)) {
            return Result.err(notRun(FailureReason.Overloaded, "The engine's queue is full."));
        }
        table.add(stream);
        wakeStepping();
        if (stream.request.kvHandle) {
            void releaseImported(stream.request.kvHandle, transfer);
        }
        return Result.ok(stream);
    };

    const releaseImported = async (handle: KvHandle, transfer: number) => {
        await pause(transfer);
        await options.importer.release(handle);
    };

    const desk = createOrderDesk({
        settings,
        faults: options.faults,
        highestFencingNumber: options.highestFencingNumber,
        startsStuck: options.startsStuck,
        pause,
        isEnded: () => stopper.signal.aborted,
        dropStreams: () => {
            catchUp();
            table.drop();
        },
        crash: options.crash,
    });

    void stepUntilEnded();
    void sampleUntilEnded();
    return {
        incarnation,
        desk,
        generate,
        find: (streamId, offset) => {
            catchUp();
            return table.find(streamId, offset);
        },
        attach: (stream, reader) => {
            stream.readers.add(reader);
            flushStream(stream, clock.monotonicNow());
        },
        cancel: streamId => {
            catchUp();
            table.cancel(streamId);
        },
        order: order => desk.take(order),
        describeState: () => {
            catchUp();
            return describeEngineState(settings, incarnation, desk, scheduler.counts());
        },
        describeLoad: () => history.lagging(clock.wallNow()) ?? measureLoad(),
        readCacheEvents: cursor => cacheEvents.readAfter(cursor, simulatedNow()),
        findExport: handleId => kvExports.find(handleId),
        releaseExport: handleId => void kvExports.release(handleId),
        end: () => {
            stopper.abort();
            wakeStepping();
            table.drop();
        },
    };
}

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
import { createOrderHandler, type OrderHandler } from "../orderHandler.js";
import { createBatchScheduler } from "./batchScheduler.js";
import { createLoadHistory } from "./loadHistory.js";
import { createStreamTable } from "./streamTable.js";

/** Maximum real sleep of the stepping task. Timers do not accept an infinite delay. */
const maxSleepMilliseconds = 60_000;

/** Options of one incarnation of the engine. */
export interface EngineRunOptions {
    readonly settings: EngineSettings;
    readonly clock: Clock;
    readonly incarnation: string;
    readonly faults: EngineFaults;
    readonly importer: KvImporter;
    /** Address at which other engines fetch KV caches from this engine. */
    readonly address: () => string;
    readonly highestFencingNumber: number;
    readonly startsStuck: boolean;
    readonly crash: () => void;
}

/** One incarnation of the engine, from its start to its end. */
export interface EngineRun {
    readonly incarnation: string;
    readonly orderHandler: OrderHandler;
    /** Submits a request. Use `attach` to read the returned stream. */
    generate(request: GenerateRequest): Promise<Result<EngineStream, Failure>>;
    /** Finds a stream that is running or ended within the retention period. */
    find(streamId: string, offset: number): Result<EngineStream, Failure>;
    attach(stream: EngineStream, reader: StreamReader): void;
    cancel(streamId: string): void;
    order(order: EngineOrder): OrderAnswer;
    describeState(): EngineState;
    describeLoad(): LoadReport;
    readCacheEvents(cursor: number): CacheEventPage;
    findExport(handleId: string): KvExport | undefined;
    releaseExport(handleId: string): void;
    /** Ends the incarnation immediately. Streams are cut and removed. */
    end(): void;
}

/** Starts an incarnation of the engine. */
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
    const kvExports = createKvExports(settings.exportMilliseconds, tokens => scheduler.reserveKv(tokens));
    const table = createStreamTable(settings, streamId => scheduler.remove(streamId));

    const describeHandle = ({ handleId, tokenCount }: KvExport): KvHandle => ({
        engineId: settings.id,
        address: options.address(),
        handleId,
        tokenCount,
    });

    /** Advances the simulation to the current time and writes the new tokens to the readers. */
    const catchUp = () => {
        scheduler.advanceTo(simulatedNow());
        const monotonicNow = clock.monotonicNow();
        dirty.forEach(stream => flushStream(stream, monotonicNow));
        dirty.clear();
        caughtUpAt = monotonicNow;
    };

    /** Wakes the stepping task so that it recomputes the time of the next event. */
    const wakeStepping = () => sleeper.abort();

    const stepUntilEnded = async () => {
        while (!stopper.signal.aborted) {
            sleeper = new AbortController();
            const nextEventAt = scheduler.nextEventAt();
            const dueAt = nextEventAt === undefined ? Infinity : startedAt + nextEventAt / settings.speed;
            const earliest = caughtUpAt + settings.flushRealMilliseconds;
            await clock.sleepUntil(
                Math.min(Math.max(dueAt, earliest), clock.monotonicNow() + maxSleepMilliseconds),
                sleeper.signal,
            );
            if (!sleeper.signal.aborted) {
                catchUp();
            }
        }
    };

    const measureLoad = () =>
        measureEngineLoad(settings, incarnation, orderHandler, scheduler.counts(), table.streamIds, clock.wallNow());

    const sampleUntilEnded = async () => {
        const sampleInterval = Math.max(
            settings.loadSampleMilliseconds / settings.speed,
            settings.flushRealMilliseconds,
        );
        // Waiting lines are due in real time, independently of the simulation speed.
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
        const refusal = findRefusal(orderHandler, request) ?? findRequestFault(stream, settings);
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

    const orderHandler = createOrderHandler({
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
        orderHandler,
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
        order: order => orderHandler.handle(order),
        describeState: () => {
            catchUp();
            return describeEngineState(settings, incarnation, orderHandler, scheduler.counts());
        },
        describeLoad: () => history.findLagged(clock.wallNow()) ?? measureLoad(),
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

import {
    type CacheEventPage,
    Engine,
    type EngineOrder,
    type EngineState,
    type GenerateRequest,
    type LoadReport,
    type OrderAnswer,
    type StreamEvent,
    StreamEventKind,
    waitingKind,
} from "daisyturn";
import { type Clock, type Failure, FailureReason, mayHaveRun, notRun } from "daisyturn-utils";
import Result from "true-myth/result";
import { createEngineRun, type EngineRun } from "./batch/engineRun.js";
import type { KvImporter } from "./cache/kvImport.js";
import type { EngineFaults } from "./engineFaults.js";
import { type EngineOptions, engineOptionsSchema } from "./engineOptions.js";
import type { EngineStream, StreamReader } from "./engineStream.js";

/** In-process engines by id, which can fetch KV caches from each other. */
export type LocalFleet = Map<string, EngineRun>;

/** An in-process engine stand-in for tests and measurements. It also runs on a FakeClock. */
export interface LocalEngine extends Engine {
    readonly faults: EngineFaults;
    /** Ends the current incarnation and starts a new one. */
    restart(): void;
    /** Ends the engine permanently and removes it from the fleet. */
    end(): void;
}

/** Creates an in-process engine with the complete speed model. */
export function createLocalEngine(options: EngineOptions, clock: Clock, fleet: LocalFleet = new Map()): LocalEngine {
    const settings = engineOptionsSchema.parse(options);
    const faults: EngineFaults = {};
    let incarnationNumber = 0;

    const startRun = (highestFencingNumber: number, startsStuck: boolean): EngineRun => {
        incarnationNumber += 1;
        const started = createEngineRun({
            settings,
            clock,
            incarnation: `${settings.id}-run${incarnationNumber}`,
            faults,
            importer: createLocalImporter(fleet),
            address: () => `local:${settings.id}`,
            highestFencingNumber,
            startsStuck,
            crash: () => restart(true),
        });
        fleet.set(settings.id, started);
        return started;
    };

    const restart = (isWithinChange: boolean) => {
        run.end();
        run = startRun(settings.keepsFencingOverRestart ? run.orderHandler.highestFencingNumber : 0, isWithinChange);
    };
    let run = startRun(0, false);

    class LocalEngineStandIn extends Engine implements LocalEngine {
        override readonly engineId = settings.id;
        readonly faults = faults;

        override async generate(
            request: GenerateRequest,
            signal: AbortSignal,
        ): Promise<Result<AsyncIterable<StreamEvent>, Failure>> {
            if (signal.aborted) {
                return Result.err(notRun(FailureReason.Cancelled, "Cancelled before it was sent."));
            }
            const submitted = await run.generate(request);
            if (submitted.isErr) {
                return Result.err(submitted.error);
            }
            const cancel = () => run.cancel(request.streamId);
            return Result.ok(readLocally(run, submitted.value, request.startOffset ?? 0, signal, cancel));
        }

        override async resume(
            streamId: string,
            offset: number,
            signal: AbortSignal,
        ): Promise<Result<AsyncIterable<StreamEvent>, Failure>> {
            const found = run.find(streamId, offset);
            return found.isOk ? Result.ok(readLocally(run, found.value, offset, signal)) : Result.err(found.error);
        }

        override async cancel(streamId: string): Promise<Result<void, Failure>> {
            run.cancel(streamId);
            return Result.ok(undefined);
        }

        override async order(order: EngineOrder): Promise<Result<OrderAnswer, Failure>> {
            return Result.ok(run.order(order));
        }

        override async readState(): Promise<Result<EngineState, Failure>> {
            return Result.ok(run.describeState());
        }

        override async readLoad(): Promise<Result<LoadReport, Failure>> {
            return Result.ok(run.describeLoad());
        }

        override async readCacheEvents(cursor: number): Promise<Result<CacheEventPage, Failure>> {
            return Result.ok(run.readCacheEvents(cursor));
        }

        restart(): void {
            restart(false);
        }

        end(): void {
            run.end();
            fleet.delete(settings.id);
        }
    }
    return new LocalEngineStandIn();
}

function createLocalImporter(fleet: LocalFleet): KvImporter {
    return {
        look: async handle => fleet.get(handle.engineId)?.findExport(handle.handleId),
        release: async handle => fleet.get(handle.engineId)?.releaseExport(handle.handleId),
    };
}

/** Yields the events of a stream. The reader is attached before the first read, so that no event is missed. */
function readLocally(
    run: EngineRun,
    stream: EngineStream,
    offset: number,
    signal: AbortSignal,
    cancel: () => void = () => undefined,
): AsyncIterable<StreamEvent> {
    const events: StreamEvent[] = [];
    let wake: () => void = () => undefined;
    const push = (event: StreamEvent) => {
        if (event.kind !== StreamEventKind.Tokens) {
            signal.removeEventListener("abort", onAbort);
        }
        events.push(event);
        wake();
    };
    const pushBroken = (reason: FailureReason) =>
        push({ kind: StreamEventKind.Broken, failure: mayHaveRun(reason, "The engine's stream was cut.") });
    const onAbort = () => {
        pushBroken(FailureReason.Cancelled);
        cancel();
    };
    const reader: StreamReader = {
        offset,
        lastWriteAt: 0,
        write: line => {
            if (line.kind !== waitingKind) {
                push(line);
            }
        },
        end: () => undefined,
        cut: () => pushBroken(FailureReason.StreamBroken),
    };
    signal.addEventListener("abort", onAbort, { once: true });
    run.attach(stream, reader);

    async function* readEvents(): AsyncGenerator<StreamEvent> {
        for (;;) {
            const event = events.shift();
            if (!event) {
                await new Promise<void>(resolve => {
                    wake = resolve;
                });
                continue;
            }
            yield event;
            if (event.kind !== StreamEventKind.Tokens) {
                stream.readers.delete(reader);
                return;
            }
        }
    }
    return readEvents();
}

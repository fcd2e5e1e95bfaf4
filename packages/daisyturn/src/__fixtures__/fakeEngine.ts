import { type Failure, FailureReason, mayHaveRun, notRun } from "daisyturn-utils";
import Result from "true-myth/result";
import {
    type CacheEvent,
    type CacheEventPage,
    Engine,
    type EngineOrder,
    EnginePhase,
    type EngineState,
    type GenerateRequest,
    type LoadReport,
    type OrderAnswer,
    type StreamEvent,
} from "../ports/engine.js";
import { estimateTokenCount } from "../request/completion/promptBlocks.js";
import { createFakeOrderHandler, type FakeOrderHandler, type FakeOrderHandlerOptions } from "./fakeOrderHandler.js";
import { createFakeStream, type FakeStream, type StreamFault } from "./fakeStream.js";

/** Faults that can be injected into a call to a fake engine. */
export enum CallFaultKind {
    /** The call is refused or cannot be sent: NotRun. */
    Refuse = "refuse",
    /** The call takes effect, but its answer is lost: MayHaveRun. */
    LoseAnswer = "lose_answer",
    /** The call has no effect, but its caller cannot know that: MayHaveRun. */
    LoseRequest = "lose_request",
    /** The call has no effect and gets no answer until its caller gives up: MayHaveRun. */
    Hang = "hang",
}

export interface FakeEngineOptions extends FakeOrderHandlerOptions {
    readonly engineId?: string;
    readonly firstTokenMilliseconds?: number;
    readonly tokenMilliseconds?: number;
    /** Returns the tokens of the complete answer. Default: {@link fakeAnswer}. */
    readonly answer?: (request: GenerateRequest) => readonly string[];
}

/** An engine in memory that a test controls. */
export interface FakeEngine extends Engine {
    /** Accepted requests, in order. */
    readonly taken: GenerateRequest[];
    /** Ids of cancelled streams. */
    readonly cancelled: string[];
    readonly orderHandler: FakeOrderHandler;
    readonly streams: ReadonlyMap<string, FakeStream>;
    /** Faults of the next calls of `generate`, one each, in order; undefined for a call without a fault. */
    readonly generateFaults: (CallFaultKind | undefined)[];
    /** Faults of the next streams that are returned by `generate` or `resume`. */
    readonly streamFaults: (StreamFault | undefined)[];
    readonly orderFaults: (CallFaultKind | undefined)[];
    /** Faults of the next reads of state, load and cache events. */
    readonly readFaults: (CallFaultKind | undefined)[];
    /** Overrides fields of the load report. */
    loadChanges: Partial<LoadReport>;
    readonly cacheEvents: CacheEvent[];
    /** Loses all streams and refuses all calls until `restart`. */
    crash(): void;
    /** Restarts as a new incarnation with the loaded models and adapters. Stuck if a change was in progress. */
    restart(): void;
}

/** Default answer to a prompt. A prompt with `tokens:N` is answered with N tokens, any other with 5. */
export function fakeAnswer(request: GenerateRequest): readonly string[] {
    const count = Number(/tokens:(\d+)/.exec(request.prompt)?.[1] ?? "5");
    return Array.from(Array(count).keys(), index => `${request.prompt.slice(0, 8)}#${index} `);
}

/** Creates an engine in memory. */
export function createFakeEngine(options: FakeEngineOptions): FakeEngine {
    const { clock } = options;
    const engineId = options.engineId ?? "engine-1";
    const streams = new Map<string, FakeStream>();
    let incarnationNumber = 1;
    let isDown = false;

    const incarnation = () => `${engineId}-run${incarnationNumber}`;
    const running = () => [...streams.values()].filter(stream => !stream.isOver());

    /** Returns the next fault from the list, after the wait if it is Hang; undefined if there is no fault. */
    const applyNextFault = async (faults: (CallFaultKind | undefined)[], callEnded: Promise<void>) => {
        const fault = isDown ? CallFaultKind.Refuse : faults.shift();
        if (fault === CallFaultKind.Hang) {
            await callEnded;
        }
        return fault;
    };

    const start = (request: GenerateRequest): FakeStream => {
        const stream = createFakeStream({
            clock,
            request,
            engineId,
            tokens: (options.answer ?? fakeAnswer)(request),
            promptTokens: estimateTokenCount(request.prompt),
            firstTokenMilliseconds: options.firstTokenMilliseconds ?? 0,
            tokenMilliseconds: options.tokenMilliseconds ?? 0,
        });
        streams.set(request.streamId, stream);
        engine.taken.push(request);
        return stream;
    };

    const findRefusal = (request: GenerateRequest): string | undefined => {
        const acceptsWork = engine.orderHandler.phase === EnginePhase.Serving && !engine.orderHandler.draining;
        if (!acceptsWork) {
            return "The fake engine accepts no work.";
        }
        return engine.orderHandler.models.includes(request.model)
            ? undefined
            : "The fake engine does not have the model.";
    };

    const readAnswer = async <T>(deadline: number, build: () => T): Promise<Result<T, Failure>> => {
        const fault = await applyNextFault(engine.readFaults, clock.sleepUntil(deadline));
        return fault === undefined ? Result.ok(build()) : Result.err(failureOf(fault));
    };

    class MemoryEngine extends Engine implements FakeEngine {
        override readonly engineId = engineId;
        readonly taken: GenerateRequest[] = [];
        readonly cancelled: string[] = [];
        readonly orderHandler = createFakeOrderHandler(options);
        readonly streams = streams;
        readonly generateFaults: (CallFaultKind | undefined)[] = [];
        readonly streamFaults: (StreamFault | undefined)[] = [];
        readonly orderFaults: (CallFaultKind | undefined)[] = [];
        readonly readFaults: (CallFaultKind | undefined)[] = [];
        loadChanges: Partial<LoadReport> = {};
        readonly cacheEvents: CacheEvent[] = [];

        override async generate(
            request: GenerateRequest,
            signal: AbortSignal,
        ): Promise<Result<AsyncIterable<StreamEvent>, Failure>> {
            const fault = await applyNextFault(this.generateFaults, untilAborted(signal));
            const refusal = findRefusal(request);
            if (fault === CallFaultKind.LoseAnswer && refusal === undefined) {
                start(request);
            }
            if (fault !== undefined) {
                return Result.err(failureOf(fault));
            }
            if (refusal !== undefined || signal.aborted) {
                return Result.err(notRun(FailureReason.TargetRefused, refusal ?? "Cancelled before it was sent."));
            }
            const stream = start(request);
            signal.addEventListener("abort", () => this.stop(request.streamId), { once: true });
            return Result.ok(stream.read(request.startOffset ?? 0, this.streamFaults.shift(), signal));
        }

        override async resume(
            streamId: string,
            offset: number,
            signal: AbortSignal,
        ): Promise<Result<AsyncIterable<StreamEvent>, Failure>> {
            const stream = streams.get(streamId);
            if (isDown || !stream || this.cancelled.includes(streamId)) {
                return Result.err(mayHaveRun(FailureReason.NotFound, "The fake engine has no such stream."));
            }
            return Result.ok(stream.read(offset, this.streamFaults.shift(), signal));
        }

        override async cancel(streamId: string): Promise<Result<void, Failure>> {
            if (isDown) {
                return Result.err(failureOf(CallFaultKind.Refuse));
            }
            this.stop(streamId);
            return Result.ok(undefined);
        }

        override async order(order: EngineOrder, deadline: number): Promise<Result<OrderAnswer, Failure>> {
            const fault = await applyNextFault(this.orderFaults, clock.sleepUntil(deadline));
            if (fault !== undefined && fault !== CallFaultKind.LoseAnswer) {
                return Result.err(failureOf(fault));
            }
            const answer = this.orderHandler.handle(order);
            return fault === undefined ? Result.ok(answer) : Result.err(failureOf(fault));
        }

        override readState(deadline: number): Promise<Result<EngineState, Failure>> {
            return readAnswer(deadline, () => ({
                engineId,
                incarnation: incarnation(),
                role: this.orderHandler.role,
                phase: this.orderHandler.phase,
                draining: this.orderHandler.draining,
                models: [...this.orderHandler.models],
                adapters: [...this.orderHandler.adapters],
                version: this.orderHandler.version,
                runningStreams: running().length,
                queuedRequests: 0,
                lastOrderId: this.orderHandler.lastOrderId,
                highestFencingNumber: options.checksFencingNumbers ? this.orderHandler.highestFencingNumber : undefined,
            }));
        }

        override readLoad(deadline: number): Promise<Result<LoadReport, Failure>> {
            return readAnswer(deadline, () => ({
                engineId,
                incarnation: incarnation(),
                asOf: clock.wallNow(),
                role: this.orderHandler.role,
                phase: this.orderHandler.phase,
                runningStreams: running().length,
                queuedRequests: 0,
                queuedPrefillTokens: 0,
                outstandingOutputTokens: 0,
                kvTokensUsed: 0,
                kvTokensCapacity: 100_000,
                prefillRate: 10_000,
                decodeRate: 100,
                recentStreamIds: running().map(stream => stream.request.streamId),
                ...this.loadChanges,
            }));
        }

        override readCacheEvents(cursor: number, deadline: number): Promise<Result<CacheEventPage, Failure>> {
            return readAnswer(deadline, () => {
                const events = this.cacheEvents.filter(event => event.sequence > cursor);
                return { incarnation: incarnation(), events, cursor: events.at(-1)?.sequence ?? cursor };
            });
        }

        crash(): void {
            isDown = true;
            streams.forEach(stream => stream.lose());
            streams.clear();
            this.orderHandler.crash();
        }

        restart(): void {
            isDown = false;
            incarnationNumber += 1;
            this.orderHandler.lastOrderId = undefined;
        }

        private stop(streamId: string): void {
            const stream = streams.get(streamId);
            if (stream && !stream.isOver()) {
                stream.cancel();
                this.cancelled.push(streamId);
            }
        }
    }
    const engine = new MemoryEngine();
    return engine;
}

/** Returns the failure that a fault causes. */
export function failureOf(fault: CallFaultKind): Failure {
    return fault === CallFaultKind.Refuse
        ? notRun(FailureReason.TargetRefused, "The fake target refused.")
        : mayHaveRun(FailureReason.TargetFailed, `The fake target failed: ${fault}.`);
}

/** Resolves when the signal is aborted. */
export function untilAborted(signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
        if (signal.aborted) {
            resolve();
        }
        signal.addEventListener("abort", () => resolve(), { once: true });
    });
}

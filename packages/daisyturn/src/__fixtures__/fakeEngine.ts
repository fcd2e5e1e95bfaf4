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
import { createFakeOrderDesk, type FakeOrderDesk, type FakeOrderDeskOptions } from "./fakeOrderDesk.js";
import { createFakeStream, type FakeStream, type StreamFault } from "./fakeStream.js";

/** What goes wrong with one call to a fake engine. */
export enum CallFaultKind {
    /** The call is refused, or can't be sent: NotRun. */
    Refuse = "refuse",
    /** The call has its effect, and its answer is lost: MayHaveRun. */
    LoseAnswer = "lose_answer",
    /** The call has no effect, and nobody can tell: MayHaveRun. */
    LoseRequest = "lose_request",
    /** No answer until the caller gives up; no effect; MayHaveRun. */
    Hang = "hang",
}

/** Settings of a fake engine. */
export interface FakeEngineOptions extends FakeOrderDeskOptions {
    readonly engineId?: string;
    readonly firstTokenMilliseconds?: number;
    readonly tokenMilliseconds?: number;
    /** The whole answer, token by token; absent: {@link fakeAnswer}. */
    readonly answer?: (request: GenerateRequest) => readonly string[];
}

/** An engine in memory, which does what a test tells it. */
export interface FakeEngine extends Engine {
    /** Requests that it took in, in order. */
    readonly taken: GenerateRequest[];
    /** Streams that were cancelled. */
    readonly cancelled: string[];
    readonly desk: FakeOrderDesk;
    readonly streams: ReadonlyMap<string, FakeStream>;
    /** Faults of the next calls of `generate`, used up one by one; undefined lets one call pass. */
    readonly generateFaults: (CallFaultKind | undefined)[];
    /** Faults of the next streams that are read, by `generate` or `resume`. */
    readonly streamFaults: (StreamFault | undefined)[];
    readonly orderFaults: (CallFaultKind | undefined)[];
    /** Faults of the next readings of state, load and cache events. */
    readonly readFaults: (CallFaultKind | undefined)[];
    /** Overrides fields of the load report. */
    loadChanges: Partial<LoadReport>;
    readonly cacheEvents: CacheEvent[];
    /** Loses all streams and answers nothing until `restart`. */
    crash(): void;
    /** Comes back under a new incarnation, with what it had loaded; Stuck if a change was under way. */
    restart(): void;
}

/** The answer of a fake engine to a prompt: as many tokens as the prompt's number asks for, or 5. */
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

    /** Takes the next fault of a kind of call; undefined if the call goes through. */
    const meetFault = async (faults: (CallFaultKind | undefined)[], giveUp: Promise<void>) => {
        const fault = isDown ? CallFaultKind.Refuse : faults.shift();
        if (fault === CallFaultKind.Hang) {
            await giveUp;
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
        const takesWork = engine.desk.phase === EnginePhase.Serving && !engine.desk.draining;
        if (!takesWork) {
            return "The fake engine takes no work.";
        }
        return engine.desk.models.includes(request.model) ? undefined : "The fake engine lacks the model.";
    };

    const readAnswer = async <T>(deadline: number, build: () => T): Promise<Result<T, Failure>> => {
        const fault = await meetFault(engine.readFaults, clock.sleepUntil(deadline));
        return fault === undefined ? Result.ok(build()) : Result.err(failureOf(fault));
    };

    class MemoryEngine extends Engine implements FakeEngine {
        override readonly engineId = engineId;
        readonly taken: GenerateRequest[] = [];
        readonly cancelled: string[] = [];
        readonly desk = createFakeOrderDesk(options);
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
            const fault = await meetFault(this.generateFaults, untilAborted(signal));
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
            const fault = await meetFault(this.orderFaults, clock.sleepUntil(deadline));
            if (fault !== undefined && fault !== CallFaultKind.LoseAnswer) {
                return Result.err(failureOf(fault));
            }
            const answer = this.desk.take(order);
            return fault === undefined ? Result.ok(answer) : Result.err(failureOf(fault));
        }

        override readState(deadline: number): Promise<Result<EngineState, Failure>> {
            return readAnswer(deadline, () => ({
                engineId,
                incarnation: incarnation(),
                role: this.desk.role,
                phase: this.desk.phase,
                draining: this.desk.draining,
                models: [...this.desk.models],
                adapters: [...this.desk.adapters],
                version: this.desk.version,
                runningStreams: running().length,
                queuedRequests: 0,
                lastOrderId: this.desk.lastOrderId,
                highestFencingNumber: options.checksFencingNumbers ? this.desk.highestFencingNumber : undefined,
            }));
        }

        override readLoad(deadline: number): Promise<Result<LoadReport, Failure>> {
            return readAnswer(deadline, () => ({
                engineId,
                incarnation: incarnation(),
                asOf: clock.wallNow(),
                role: this.desk.role,
                phase: this.desk.phase,
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
            this.desk.crash();
        }

        restart(): void {
            isDown = false;
            incarnationNumber += 1;
            this.desk.lastOrderId = undefined;
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

/** The failure that a fault looks like to the caller. */
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

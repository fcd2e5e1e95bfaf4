import { type Clock, FailureReason, mayHaveRun } from "daisyturn-utils";
import {
    FinishReason,
    GeneratePart,
    type GenerateRequest,
    type StreamEnd,
    type StreamEvent,
    StreamEventKind,
    type StreamTokens,
} from "../ports/engine.js";

/** What goes wrong with a stream of a fake engine. */
export enum StreamFaultKind {
    /** The stream is cut: a Broken follows. The engine goes on and the stream can be resumed. */
    Break = "break",
    /** The stream ends without an end mark. */
    EndShort = "end_short",
    /** The event comes twice. */
    Duplicate = "duplicate",
    /** The event is left out. */
    Skip = "skip",
    /** The event trades places with the one after it. */
    Swap = "swap",
    /** The event's text belongs to another request. */
    Foreign = "foreign",
    /** Nothing more comes until the reader's signal is aborted. */
    Hang = "hang",
    /** The event comes `delayMilliseconds` later. */
    Delay = "delay",
}

/** A fault of one reading of a stream. */
export interface StreamFault {
    readonly kind: StreamFaultKind;
    /** Tokens after which it strikes. */
    readonly afterTokens: number;
    readonly delayMilliseconds?: number;
}

/** A stream that a fake engine produces by the clock, one token at a time. */
export interface FakeStream {
    readonly request: GenerateRequest;
    /** Ended, cancelled or lost. */
    isOver(): boolean;
    producedTokens(): number;
    cancel(): void;
    /** Loses the stream, as a crash does: readers get a Broken. */
    lose(): void;
    read(offset: number, fault: StreamFault | undefined, signal: AbortSignal): AsyncGenerator<StreamEvent>;
}

/** How fast a stream comes, in milliseconds of the clock. */
export interface FakeStreamOptions {
    readonly clock: Clock;
    readonly request: GenerateRequest;
    /** The whole answer, token by token. */
    readonly tokens: readonly string[];
    readonly firstTokenMilliseconds: number;
    readonly tokenMilliseconds: number;
    readonly engineId: string;
    readonly promptTokens: number;
}

/** Starts producing a stream. */
export function createFakeStream(options: FakeStreamOptions): FakeStream {
    const { clock, request } = options;
    const isPrefill = request.part === GeneratePart.Prefill;
    const targetTokens = isPrefill ? 0 : Math.min(options.tokens.length, request.maxOutputTokens);
    const stopper = new AbortController();
    let produced = Math.min(request.startOffset ?? 0, targetTokens);
    let ended = false;
    let waiters: (() => void)[] = [];

    const wake = () => {
        const woken = waiters;
        waiters = [];
        woken.forEach(resolve => resolve());
    };

    const produce = async () => {
        await clock.sleepUntil(clock.monotonicNow() + options.firstTokenMilliseconds, stopper.signal);
        while (!stopper.signal.aborted && produced < targetTokens) {
            produced += 1;
            wake();
            await clock.sleepUntil(clock.monotonicNow() + options.tokenMilliseconds, stopper.signal);
        }
        ended = !stopper.signal.aborted;
        wake();
    };

    const waitForMore = async (offset: number, signal: AbortSignal) => {
        while (produced <= offset && !ended && !stopper.signal.aborted && !signal.aborted) {
            await new Promise<void>(resolve => {
                waiters.push(resolve);
                signal.addEventListener("abort", () => resolve(), { once: true });
            });
        }
    };

    const tokenEvent = (offset: number): StreamTokens => ({
        kind: StreamEventKind.Tokens,
        offset,
        tokenCount: 1,
        text: options.tokens[offset] ?? "",
    });

    const endEvent = (): StreamEnd => ({
        kind: StreamEventKind.End,
        finishReason: isPrefill
            ? FinishReason.Prefilled
            : options.tokens.length > request.maxOutputTokens
            ? FinishReason.Length
            : FinishReason.Stop,
        promptTokens: options.promptTokens,
        cachedTokens: 0,
        outputTokens: produced,
        ...(isPrefill ? { kvHandle: buildKvHandle(options) } : {}),
    });

    async function* readEvents(start: number, signal: AbortSignal): AsyncGenerator<StreamEvent> {
        for (let offset = start;; offset++) {
            await waitForMore(offset, signal);
            if (signal.aborted || stopper.signal.aborted) {
                yield brokenEvent(signal.aborted ? FailureReason.Cancelled : FailureReason.StreamBroken);
                return;
            }
            if (offset >= produced) {
                yield endEvent();
                return;
            }
            yield tokenEvent(offset);
        }
    }

    const read = (offset: number, fault: StreamFault | undefined, signal: AbortSignal) =>
        fault ? applyFault(readEvents(offset, signal), fault, clock, signal) : readEvents(offset, signal);

    void produce();
    return {
        request,
        isOver: () => ended || stopper.signal.aborted,
        producedTokens: () => produced,
        cancel: () => {
            stopper.abort();
            wake();
        },
        lose: () => {
            stopper.abort();
            wake();
        },
        read,
    };
}

function buildKvHandle(options: FakeStreamOptions) {
    return {
        engineId: options.engineId,
        address: `http://${options.engineId}.invalid`,
        handleId: `kv-${options.request.streamId}`,
        tokenCount: options.promptTokens,
    };
}

function brokenEvent(reason: FailureReason): StreamEvent {
    return { kind: StreamEventKind.Broken, failure: mayHaveRun(reason, "The fake engine's stream was cut.") };
}

async function* applyFault(
    events: AsyncGenerator<StreamEvent>,
    fault: StreamFault,
    clock: Clock,
    signal: AbortSignal,
): AsyncGenerator<StreamEvent> {
    let seen = 0;
    for await (const event of events) {
        if (event.kind === StreamEventKind.Broken || seen !== fault.afterTokens) {
            yield event;
            seen += 1;
            continue;
        }
        seen += 1;
        switch (fault.kind) {
            case StreamFaultKind.Break:
                yield brokenEvent(FailureReason.StreamBroken);
                return;
            case StreamFaultKind.EndShort:
                return;
            case StreamFaultKind.Duplicate:
                yield event;
                yield event;
                break;
            case StreamFaultKind.Skip:
                break;
            case StreamFaultKind.Swap: {
                const next = await events.next();
                if (!next.done) {
                    yield next.value;
                }
                yield event;
                break;
            }
            case StreamFaultKind.Foreign:
                yield event.kind === StreamEventKind.Tokens ? { ...event, text: "foreign " } : event;
                break;
            case StreamFaultKind.Hang:
                await clock.sleepUntil(Number.MAX_SAFE_INTEGER, signal);
                yield brokenEvent(FailureReason.Cancelled);
                return;
            case StreamFaultKind.Delay:
                await clock.sleepUntil(clock.monotonicNow() + (fault.delayMilliseconds ?? 0), signal);
                yield event;
                break;
        }
    }
}

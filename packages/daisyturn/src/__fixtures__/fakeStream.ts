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

/** Faults that can be injected into a stream of a fake engine. */
export enum StreamFaultKind {
    /** The stream breaks with a Broken. The engine continues, and the stream can be resumed. */
    Break = "break",
    /** The stream ends without an end event. */
    EndShort = "end_short",
    /** The event is sent twice. */
    Duplicate = "duplicate",
    /** The event is omitted. */
    Skip = "skip",
    /** The event is swapped with the next one. */
    Swap = "swap",
    /** The event's text belongs to another request. */
    Foreign = "foreign",
    /** No more events are sent until the reader's signal is aborted. */
    Hang = "hang",
    /** The event is delayed by `delayMilliseconds`. */
    Delay = "delay",
}

/** A fault that occurs when a stream is read. */
export interface StreamFault {
    readonly kind: StreamFaultKind;
    /** Number of events before the one that is affected. */
    readonly afterTokens: number;
    readonly delayMilliseconds?: number;
}

/** A stream of a fake engine, which produces one token at a time according to the clock. */
export interface FakeStream {
    readonly request: GenerateRequest;
    /** Whether the stream has ended, was cancelled or was lost. */
    isOver(): boolean;
    producedTokens(): number;
    cancel(): void;
    /** Loses the stream as in a crash. Readers receive a Broken. */
    lose(): void;
    read(offset: number, fault: StreamFault | undefined, signal: AbortSignal): AsyncGenerator<StreamEvent>;
}

export interface FakeStreamOptions {
    readonly clock: Clock;
    readonly request: GenerateRequest;
    /** The tokens of the complete answer. */
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

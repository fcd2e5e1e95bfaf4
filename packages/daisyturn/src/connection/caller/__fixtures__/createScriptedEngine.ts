import { type Failure, FailureReason, mayHaveRun } from "daisyturn-utils";
import { once } from "node:events";
import { err, ok, type Result } from "true-myth/result";
import {
    Engine,
    FinishReason,
    type GenerateRequest,
    type StreamEvent,
    StreamEventKind,
} from "../../../ports/engine.js";

/** Answers one call of `generate` or `resume`. */
export type EngineScript = (
    request: GenerateRequest,
    signal: AbortSignal,
) => Result<AsyncIterable<StreamEvent>, Failure>;

/** An engine whose behavior is scripted by the test. */
export interface ScriptedEngine extends Engine {
    /** All requests passed to `generate`. */
    readonly received: readonly GenerateRequest[];
    /** Streams whose signal was aborted or that were cancelled by id. */
    readonly cancelled: readonly string[];
    /** Scripts of consecutive calls of `generate`; the last one is repeated. */
    script: EngineScript[];
    /** Script of `resume`. If absent, the stream is no longer known. */
    resumeScript?: (streamId: string, offset: number) => Result<AsyncIterable<StreamEvent>, Failure>;
}

/** Returns the token at an offset, the same in every answer. */
export function tokenText(offset: number): string {
    return `t${offset} `;
}

/** Returns the text of the first `count` tokens, the same in every answer. */
export function answerText(count: number): string {
    return Array.from(Array(count).keys(), tokenText).join("");
}

/** Yields the tokens from `start` to `end`, one per event, without an end event. */
export async function* yieldTokens(start: number, end: number): AsyncGenerator<StreamEvent> {
    for (let offset = start; offset < end; offset++) {
        await Promise.resolve();
        yield { kind: StreamEventKind.Tokens, offset, tokenCount: 1, text: tokenText(offset) };
    }
}

/** Creates the end event of an answer of `count` tokens. */
export function endMark(count: number): StreamEvent {
    return {
        kind: StreamEventKind.End,
        finishReason: FinishReason.Stop,
        promptTokens: 7,
        cachedTokens: 3,
        outputTokens: count,
    };
}

/** Yields a complete stream from `start` to `count`. */
export async function* yieldAnswer(start: number, count: number): AsyncGenerator<StreamEvent> {
    yield* yieldTokens(start, count);
    yield endMark(count);
}

/** Yields a stream from `start` that breaks before the token `end`. */
export async function* yieldBroken(start: number, end: number): AsyncGenerator<StreamEvent> {
    yield* yieldTokens(start, end);
    yield { kind: StreamEventKind.Broken, failure: mayHaveRun(FailureReason.StreamBroken, "Cut.") };
}

/** Yields the tokens from `start` to `end`, then nothing until the request is cancelled. */
export async function* yieldUntilCancelled(
    start: number,
    end: number,
    signal: AbortSignal,
): AsyncGenerator<StreamEvent> {
    yield* yieldTokens(start, end);
    if (!signal.aborted) {
        await once(signal, "abort");
    }
    yield { kind: StreamEventKind.Broken, failure: mayHaveRun(FailureReason.Cancelled, "Cancelled.") };
}

/** Returns a script that gives a complete answer of `count` tokens. */
export function answerWhole(count: number): EngineScript {
    return request => ok(yieldAnswer(request.startOffset ?? 0, count));
}

/** Creates an engine that answers with `count` tokens unless its script is replaced. */
export function createScriptedEngine(engineId: string, count: number): ScriptedEngine {
    const received: GenerateRequest[] = [];
    const cancelled: string[] = [];
    const notScripted = () => Promise.resolve(err(mayHaveRun(FailureReason.TargetFailed, "Not scripted.")));

    class TestEngine extends Engine implements ScriptedEngine {
        override readonly engineId = engineId;
        readonly received = received;
        readonly cancelled = cancelled;
        script = [answerWhole(count)];
        resumeScript?: ScriptedEngine["resumeScript"];

        override generate(request: GenerateRequest, signal: AbortSignal) {
            received.push(request);
            signal.addEventListener("abort", () => cancelled.push(request.streamId));
            const script = this.script.length > 1 ? this.script.shift() : this.script[0];
            return Promise.resolve(script!(request, signal));
        }

        override resume(streamId: string, offset: number) {
            return Promise.resolve(
                this.resumeScript?.(streamId, offset)
                    ?? err(mayHaveRun(FailureReason.NotFound, "The stream is not known.")),
            );
        }

        override cancel(streamId: string) {
            cancelled.push(streamId);
            return Promise.resolve(ok<void, Failure>(undefined));
        }

        override order = notScripted;
        override readState = notScripted;
        override readLoad = notScripted;
        override readCacheEvents = notScripted;
    }
    return new TestEngine();
}

import { EventKind, type Failure, FailureReason, mayHaveRun } from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import type { Engine, StreamEnd, StreamEvent } from "../../ports/engine.js";
import type { RequestParts } from "../requestParts.js";
import type { AnswerProgress } from "./answerProgress.js";
import { relayEvents, type TokenSink } from "./relayEvents.js";

/** A stream of an engine, and the sink of its tokens. */
export interface RelayedStream {
    readonly requestId: string;
    readonly engine: Engine;
    readonly streamId: string;
    readonly source: AttachedStream;
    readonly progress: AnswerProgress;
    readonly sink: TokenSink;
    readonly signal: AbortSignal;
    /** Whether the stream comes from `generate`, whose signal cancels the work. One from `resume` must be cancelled. */
    readonly isGenerated: boolean;
}

/** Limit of consecutive resumptions of one stream without a new token. */
const maxResumptionsWithoutProgress = 2;
/** Limit of all resumptions of one stream. */
const maxResumptions = 8;
/** Time limit for an engine to resume a broken stream. */
const resumeTimeoutMilliseconds = 2_000;
/** Time limit of a cancellation, whose result is not awaited. */
const cancelTimeoutMilliseconds = 5_000;

/**
 * Relays a stream to its end mark. If the connection breaks, the stream is resumed at the same engine, which has
 * continued to generate. A stream that cannot be completed is cancelled at the engine.
 */
export async function relayStream(parts: RequestParts, stream: RelayedStream): Promise<Result<StreamEnd, Failure>> {
    const { progress, signal } = stream;
    let source: AttachedStream = stream.source;
    let resumptionsWithoutProgress = 0;
    for (let resumptions = 0;; resumptions++) {
        const startOffset = progress.offset;
        const end = await relayEvents(source.events, progress, stream.sink, signal);
        source.detach();
        if (end.isOk) {
            return end;
        }
        resumptionsWithoutProgress = progress.offset > startOffset ? 0 : resumptionsWithoutProgress + 1;
        const hasReachedLimit = resumptionsWithoutProgress > maxResumptionsWithoutProgress
            || resumptions >= maxResumptions;
        const resumed = signal.aborted || hasReachedLimit ? undefined : await resume(parts, stream);
        if (!resumed?.isOk) {
            if (!signal.aborted || !stream.isGenerated || resumptions > 0) {
                cancelStream(parts, stream.engine, stream.streamId);
            }
            return signal.aborted ? err(signal.reason as Failure) : end;
        }
        source = resumed.value;
    }
}

/** Cancels work whose result is no longer needed. A failed cancellation has no effect on the caller. */
export function cancelStream(parts: RequestParts, engine: Engine, streamId: string): void {
    void engine.cancel(streamId, parts.clock.monotonicNow() + cancelTimeoutMilliseconds);
}

/** A stream of events that was attached to a request. */
export interface AttachedStream {
    readonly events: AsyncIterable<StreamEvent>;
    /** Removes the listener from the request's signal. Must be called once, when the stream is no longer read. */
    detach(): void;
}

/** Attaches to an existing stream of an engine, within a time limit. */
export async function attachStream(
    parts: RequestParts,
    engine: Engine,
    streamId: string,
    offset: number,
    signal: AbortSignal,
): Promise<Result<AttachedStream, Failure>> {
    const attachment = new AbortController();
    const opened = new AbortController();
    const abortAttachment = () => attachment.abort();
    const detach = () => signal.removeEventListener("abort", abortAttachment);
    const abortAfterTimeout = async () => {
        await parts.clock.sleepUntil(parts.clock.monotonicNow() + resumeTimeoutMilliseconds, opened.signal);
        if (!opened.signal.aborted) {
            attachment.abort();
        }
    };

    signal.addEventListener("abort", abortAttachment, { once: true });
    void abortAfterTimeout();
    const events = await engine.resume(streamId, offset, attachment.signal);
    opened.abort();
    if (events.isErr) {
        detach();
        const { message, retryAt } = events.error;
        return err(mayHaveRun(FailureReason.StreamBroken, message, retryAt));
    }
    return ok({ events: events.value, detach });
}

async function resume(parts: RequestParts, stream: RelayedStream): Promise<Result<AttachedStream, Failure>> {
    const { engine, streamId, progress, signal } = stream;
    const resumed = await attachStream(parts, engine, streamId, progress.offset, signal);
    parts.eventLog.record(EventKind.RequestResumed, {
        request: stream.requestId,
        engine: engine.engineId,
        stream: streamId,
        offset: progress.offset,
        resumed: resumed.isOk,
    });
    return resumed;
}

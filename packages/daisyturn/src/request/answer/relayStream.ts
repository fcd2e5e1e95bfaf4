import { EventKind, type Failure, FailureReason, mayHaveRun } from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import type { Engine, StreamEnd, StreamEvent } from "../../ports/engine.js";
import type { RequestParts } from "../requestParts.js";
import type { AnswerProgress } from "./answerProgress.js";
import { relayEvents, type TokenSink } from "./relayEvents.js";

/** A stream at an engine, and where its tokens go. */
export interface RelayedStream {
    readonly requestId: string;
    readonly engine: Engine;
    readonly streamId: string;
    readonly source: AttachedStream;
    readonly progress: AnswerProgress;
    readonly sink: TokenSink;
    readonly signal: AbortSignal;
    /** Whether the events come from `generate`, whose signal cancels the work; those of `resume` have to be cancelled. */
    readonly isGenerated: boolean;
}

/** Resumptions of one stream without a single new token in between. */
const maxResumptionsWithoutProgress = 2;
/** Resumptions of one stream in all. */
const maxResumptions = 8;
/** Longest wait for the engine to take up a broken stream again. */
const resumeTimeoutMilliseconds = 2_000;
/** Limit of a cancellation, which nobody waits for. */
const cancelTimeoutMilliseconds = 5_000;

/**
 * Relays a stream to its end mark. Where the connection breaks, it is resumed at the same engine, which has gone on.
 * A stream that can't be brought to its end is cancelled at the engine.
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

/** Cancels work that nobody waits for any more; whether that succeeds changes nothing for the caller. */
export function cancelStream(parts: RequestParts, engine: Engine, streamId: string): void {
    void engine.cancel(streamId, parts.clock.monotonicNow() + cancelTimeoutMilliseconds);
}

/** A stream that was taken up again. */
export interface AttachedStream {
    readonly events: AsyncIterable<StreamEvent>;
    /** Lets go of the request's signal; to be called once when the stream is not read any more. */
    detach(): void;
}

/** Attaches to a stream again, waiting for the engine only for a bounded time. */
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

import { EventKind, ExecutionVerdict, type Failure } from "daisyturn-utils";
import { err, type Result } from "true-myth/result";
import { GeneratePart, type StreamEnd, type StreamTokens } from "../../ports/engine.js";
import { type Placement, PlacementOutcome } from "../../process/routing/index.js";
import { dispatch, type DispatchedStream, dispatchWholeInstead } from "../dispatch.js";
import { describeRunEnd } from "../guardedRun.js";
import { place } from "../place.js";
import type { RequestParts } from "../requestParts.js";
import { createFailureHistory, isTransientFailure, maxAttempts } from "../retryPolicy.js";
import type { AnswerContext } from "./answerContext.js";
import { relayStream } from "./relayStream.js";

/**
 * Produces an answer up to its end mark. After a failure, another engine continues where the last one broke off, within
 * the deadline and the process's retry budget. Text generation is idempotent, so a retry is allowed after any failure
 * of a target.
 */
export async function produceAnswer(parts: RequestParts, context: AnswerContext): Promise<Result<StreamEnd, Failure>> {
    const history = createFailureHistory();
    for (;;) {
        const placement = place(parts, context.request, [...context.avoid], context.softwareVersion);
        if (placement.isErr) {
            return err(history.conclude(placement.error));
        }
        const end = await runAttempt(parts, context, placement.value);
        placement.value.end(describeOutcome(end, context.signal), end.unwrapOr(undefined));
        if (end.isOk) {
            return end;
        }
        if (context.signal.aborted) {
            return err(history.conclude(context.signal.reason as Failure));
        }
        history.record(end.error);
        context.avoid.add(placement.value.engine);
        const isRetryUseful = isTransientFailure(end.error) && history.attempts < maxAttempts
            && parts.crashGuard.mayRepeat(context.request.guarded);
        if (!isRetryUseful || !parts.retryBudget.tryAcquire()) {
            return err(history.conclude(end.error));
        }
        recordRetry(parts, context, placement.value, end.error);
    }
}

async function runAttempt(
    parts: RequestParts,
    context: AnswerContext,
    placement: Placement,
): Promise<Result<StreamEnd, Failure>> {
    const startOffset = context.progress.offset;
    const stream = await dispatch(parts, context, placement);
    if (stream.isErr) {
        return err(stream.error);
    }
    const end = await relayDispatched(parts, context, placement, stream.value);
    const isImportFailure = end.isErr && stream.value.part === GeneratePart.Decode
        && context.progress.offset === startOffset && !context.signal.aborted;
    if (!isImportFailure) {
        return end;
    }
    const whole = await dispatchWholeInstead(parts, context, placement, end.error);
    return whole.isOk ? relayDispatched(parts, context, placement, whole.value) : err(whole.error);
}

async function relayDispatched(
    parts: RequestParts,
    context: AnswerContext,
    placement: Placement,
    stream: DispatchedStream,
): Promise<Result<StreamEnd, Failure>> {
    context.channel.setSource({
        engine: stream.engine.engineId,
        streamId: stream.streamId,
        offset: context.progress.offset,
        softwareVersion: placement.softwareVersion,
    });
    try {
        const end = await relayStream(parts, {
            requestId: context.request.requestId,
            engine: stream.engine,
            streamId: stream.streamId,
            source: { events: stream.events, detach: () => undefined },
            progress: context.progress,
            sink: createSink(parts, context, placement),
            signal: context.signal,
            isGenerated: true,
        });
        stream.endRun(describeRunEnd(end.isErr ? end.error : undefined, context.signal.aborted));
        return end;
    }
    finally {
        stream.leave();
    }
}

function createSink(parts: RequestParts, context: AnswerContext, placement: Placement) {
    let isFirst = true;
    return (tokens: StreamTokens) => {
        if (isFirst) {
            isFirst = false;
            context.softwareVersion ??= placement.softwareVersion;
            placement.recordFirstToken();
            recordFirstToken(parts, context, placement, tokens);
        }
        placement.recordTokens(tokens.tokenCount);
        return context.channel.deliver(tokens);
    };
}

function describeOutcome(end: Result<StreamEnd, Failure>, signal: AbortSignal): PlacementOutcome {
    if (end.isOk) {
        return PlacementOutcome.Completed;
    }
    if (signal.aborted) {
        return PlacementOutcome.Cancelled;
    }
    return end.error.verdict === ExecutionVerdict.NotRun ? PlacementOutcome.Refused : PlacementOutcome.Failed;
}

function recordFirstToken(
    parts: RequestParts,
    context: AnswerContext,
    placement: Placement,
    tokens: StreamTokens,
): void {
    if (tokens.offset > 0) {
        return;
    }
    parts.eventLog.record(EventKind.RequestFirstToken, {
        request: context.request.requestId,
        engine: placement.engine,
        afterMilliseconds: Math.round(parts.clock.wallNow() - context.request.arrivedAt),
    });
}

function recordRetry(parts: RequestParts, context: AnswerContext, placement: Placement, failure: Failure): void {
    parts.eventLog.record(EventKind.RequestRetried, {
        request: context.request.requestId,
        engine: placement.engine,
        reason: failure.reason,
        verdict: failure.verdict,
        offset: context.progress.offset,
    });
}

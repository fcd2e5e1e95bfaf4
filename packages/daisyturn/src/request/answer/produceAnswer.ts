import { EventKind, ExecutionVerdict, type Failure } from "daisyturn-utils";
import { err, type Result } from "true-myth/result";
import { GeneratePart, type StreamEnd, type StreamTokens } from "../../ports/engine.js";
import { type Placement, PlacementOutcome } from "../../process/routing/index.js";
import { dispatch, type DispatchedStream, dispatchWholeInstead } from "../dispatch.js";
import { place } from "../place.js";
import type { RequestParts } from "../requestParts.js";
import { createFailureHistory, isWorthAnotherTarget, maxAttempts } from "../retryPolicy.js";
import type { AnswerRun } from "./answerRun.js";
import { followStream } from "./followStream.js";

/**
 * Brings an answer to its end mark: one engine after the other, each going on where the last one broke off, within
 * the deadline and the process's retry budget. Generating text is idempotent, so any failure of a target allows it.
 */
export async function produceAnswer(parts: RequestParts, run: AnswerRun): Promise<Result<StreamEnd, Failure>> {
    const history = createFailureHistory();
    for (;;) {
        const placement = place(parts, run.request, [...run.avoid]);
        if (placement.isErr) {
            return err(history.conclude(placement.error));
        }
        const end = await runAttempt(parts, run, placement.value);
        placement.value.end(describeOutcome(end, run.signal), end.unwrapOr(undefined));
        if (end.isOk) {
            return end;
        }
        if (run.signal.aborted) {
            return err(history.conclude(run.signal.reason as Failure));
        }
        history.record(end.error);
        run.avoid.add(placement.value.engine);
        const isWorthwhile = isWorthAnotherTarget(end.error) && history.attempts < maxAttempts;
        if (!isWorthwhile || !parts.retryBudget.tryAcquire()) {
            return err(history.conclude(end.error));
        }
        recordRetry(parts, run, placement.value, end.error);
    }
}

async function runAttempt(
    parts: RequestParts,
    run: AnswerRun,
    placement: Placement,
): Promise<Result<StreamEnd, Failure>> {
    const startOffset = run.progress.offset;
    const stream = await dispatch(parts, run, placement);
    if (stream.isErr) {
        return err(stream.error);
    }
    const end = await followDispatched(parts, run, placement, stream.value);
    const isImportFailure = end.isErr && stream.value.part === GeneratePart.Decode
        && run.progress.offset === startOffset && !run.signal.aborted;
    if (!isImportFailure) {
        return end;
    }
    const whole = await dispatchWholeInstead(parts, run, placement, end.error);
    return whole.isOk ? followDispatched(parts, run, placement, whole.value) : err(whole.error);
}

async function followDispatched(
    parts: RequestParts,
    run: AnswerRun,
    placement: Placement,
    stream: DispatchedStream,
): Promise<Result<StreamEnd, Failure>> {
    run.channel.announce({ engine: stream.engine.engineId, streamId: stream.streamId, offset: run.progress.offset });
    try {
        return await followStream(parts, {
            requestId: run.request.requestId,
            engine: stream.engine,
            streamId: stream.streamId,
            source: { events: stream.events, detach: () => undefined },
            progress: run.progress,
            sink: createSink(parts, run, placement),
            signal: run.signal,
            isGenerated: true,
        });
    }
    finally {
        stream.leave();
    }
}

function createSink(parts: RequestParts, run: AnswerRun, placement: Placement) {
    let isFirst = true;
    return (tokens: StreamTokens) => {
        if (isFirst) {
            isFirst = false;
            placement.recordFirstToken();
            recordFirstToken(parts, run, placement, tokens);
        }
        placement.recordTokens(tokens.tokenCount);
        return run.channel.deliver(tokens);
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

function recordFirstToken(parts: RequestParts, run: AnswerRun, placement: Placement, tokens: StreamTokens): void {
    if (tokens.offset > 0) {
        return;
    }
    parts.eventLog.record(EventKind.RequestFirstToken, {
        request: run.request.requestId,
        engine: placement.engine,
        afterMilliseconds: Math.round(parts.clock.wallNow() - run.request.arrivedAt),
    });
}

function recordRetry(parts: RequestParts, run: AnswerRun, placement: Placement, failure: Failure): void {
    parts.eventLog.record(EventKind.RequestRetried, {
        request: run.request.requestId,
        engine: placement.engine,
        reason: failure.reason,
        verdict: failure.verdict,
        offset: run.progress.offset,
    });
}

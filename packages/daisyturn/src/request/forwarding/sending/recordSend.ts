import { EventKind, ExecutionVerdict, type Failure, FailureReason } from "daisyturn-utils";
import type { Result } from "true-myth/result";
import { AbandonedSend } from "../../../connection/target/openTargetConnection.js";
import type { ReplyHead } from "../../../ports/forwardedCall.js";
import type { ListedTarget } from "../../../ports/listedTarget.js";
import { RunEnd } from "../../../process/crashes/index.js";
import { ArrivalResult, TargetEvidence } from "../../../process/forwarding/index.js";
import { describeRunEnd } from "../../guardedRun.js";
import type { CallContext } from "../callContext.js";
import type { ForwardingParts } from "../forwardingParts.js";
import type { BegunArrival } from "../retries/callArrivals.js";
import { type CallAttempt, describePart, type SendRoute, type TargetReply } from "./callAttempt.js";

const minErrorStatus = 500;
const minFailureStatus = 300;

/** @param outcome undefined if nothing was sent to the target */
export function endArrival(
    { arrivalCounts, metrics }: ForwardingParts,
    { service }: CallContext,
    attempt: CallAttempt,
    begun: BegunArrival,
    outcome: Result<TargetReply, Failure> | undefined,
): void {
    const result = outcome && describeArrival(attempt, outcome);
    const isRepeat = begun.end(result);
    if (result) {
        const arrival = { service: service.name, part: describePart(attempt), result, isRepeat };
        arrivalCounts.recordArrival(arrival);
        metrics.recordArrival(arrival);
    }
}

/** An engine that answers a prefill with a failure has not accepted it. */
function describeArrival({ terms }: CallAttempt, outcome: Result<TargetReply, Failure>): ArrivalResult {
    if (outcome.isErr) {
        return outcome.error.reason === FailureReason.TargetRefused ? ArrivalResult.Refused : ArrivalResult.Broken;
    }
    const isFailedPrefill = terms.prefillOnly && outcome.value.head.status >= minFailureStatus;
    return isFailedPrefill ? ArrivalResult.Refused : ArrivalResult.Answered;
}

export function recordSend(
    parts: ForwardingParts,
    context: CallContext,
    { target }: CallAttempt,
    { started }: SendRoute,
    head: ReplyHead | undefined,
    result: Result<void, Failure>,
): void {
    parts.metrics.recordSend(result.isErr ? result.error.reason : head?.isNotRun ? "not_run" : "answered");
    context.trace.record(EventKind.TargetAnswered, {
        target: target.targetId,
        relay: started?.relayId,
        connection: started?.connectionNumber,
        status: head?.status,
        isNotRun: head?.isNotRun,
        load: head?.load && `${head.load.running}+${head.load.waiting}/${head.load.slots}`,
        reason: result.isErr ? result.error.message : undefined,
    });
}

/** Records what an answer says of its target, beside the answer itself. */
export function recordNotices(
    { limits, availability, speeds, shortage }: ForwardingParts,
    { service }: CallContext,
    target: ListedTarget,
    head: ReplyHead,
): void {
    if (head.load && !service.engine) {
        speeds.recordReport(target, head.load);
        shortage.recordReport(target, head.load);
    }
    limits.record(target.targetId, head.requestLimit);
    availability.recordRest(target.targetId, head.restMilliseconds);
    if (head.isLeaving) {
        availability.recordLeaving(target.targetId);
    }
}

/** @param signal why the send was given up; by default, because the call has ended */
export function recordAbandoned(
    { metrics, clock }: ForwardingParts,
    context: CallContext,
    attempt: CallAttempt,
    progress: AbandonedSend,
    heldBytes = 0,
    signal: AbortSignal = context.signal,
): void {
    const { reason } = signal.reason as Failure;
    const closedAt = context.exchange.closedAt();
    metrics.recordAbandonedSend(progress, reason);
    context.trace.record(EventKind.SendAbandoned, {
        target: attempt.target.targetId,
        part: describePart(attempt),
        progress,
        reason,
        heldBytes,
        closedFor: closedAt === undefined ? undefined : Math.round(clock.monotonicNow() - closedAt),
    });
}

export function recordEvidence(
    parts: ForwardingParts,
    context: CallContext,
    { target: { targetId } }: CallAttempt,
    route: SendRoute,
    outcome: Result<TargetReply, Failure>,
    isSilent: boolean,
): void {
    if (outcome.isErr && outcome.error.reason === FailureReason.LinkFailed) {
        parts.health.record(targetId, TargetEvidence.LinkFailed);
    }
    else if (outcome.isErr && (route.started?.relayId !== undefined || route.isLinkLost())) {
        // The connection may have broken on its way to the target.
        return;
    }
    else if (isSilent) {
        parts.health.record(targetId, TargetEvidence.Silent);
    }
    else if (outcome.isOk) {
        const isError = outcome.value.head.status >= minErrorStatus;
        parts.health.record(targetId, isError ? TargetEvidence.AnsweredError : TargetEvidence.Answered);
    }
    else if (!context.signal.aborted && outcome.error.reason === FailureReason.TargetFailed) {
        const isSent = outcome.error.verdict !== ExecutionVerdict.NotRun;
        parts.health.record(targetId, isSent ? TargetEvidence.Broken : TargetEvidence.Unreachable);
    }
}

/** Neither a prefill nor an error shows that the call runs without harm. */
export function determineRunEnd(
    context: CallContext,
    { terms }: CallAttempt,
    outcome: Result<TargetReply, Failure>,
    isSilent: boolean,
): RunEnd {
    if (outcome.isOk) {
        const isSuccess = outcome.value.head.status < minFailureStatus;
        return terms.prefillOnly || !isSuccess ? RunEnd.Settled : RunEnd.Answered;
    }
    return isSilent ? RunEnd.Broken : describeRunEnd(outcome.error, context.signal.aborted);
}

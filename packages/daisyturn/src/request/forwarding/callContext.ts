import { type Clock, EventKind, ExecutionVerdict, type Failure, FailureReason, notRun } from "daisyturn-utils";
import type { ForwardExchange } from "../../connection/forwarding/forwardExchange.js";
import type { ForwardedCall } from "../../ports/forwardedCall.js";
import type { ListedTarget } from "../../ports/listedTarget.js";
import type { GuardedCall } from "../../process/crashes/index.js";
import { CallKind, type ForwardRoute, type ForwardService } from "../../version/forwarding/forwardingConfiguration.js";
import { createFailureHistory, type FailureHistory, isSafeToRetry, isTransientFailure } from "../retryPolicy.js";
import type { ForwardingParts } from "./forwardingParts.js";
import { guardForwardedCall } from "./guardForwardedCall.js";
import type { RequestTrace } from "./requestTrace.js";
import { type CallArrivals, createCallArrivals } from "./retries/callArrivals.js";

/** A forwarded call that is being served, and the results of its attempts. */
export interface CallContext {
    readonly call: ForwardedCall;
    /** The call as `CrashGuard` follows it. */
    readonly guarded: GuardedCall;
    readonly route: ForwardRoute;
    readonly service: ForwardService;
    /** Smallest target pause of the routes of the service, in milliseconds. */
    readonly pauseAim: number;
    readonly exchange: ForwardExchange;
    /** Aborted with a `Failure` as its reason once the caller has disconnected or the deadline has passed. */
    readonly signal: AbortSignal;
    /** Monotonic time by which the answer must be complete. */
    readonly deadline: number;
    readonly history: FailureHistory;
    readonly trace: RequestTrace;
    /** Targets that failed this call. */
    readonly avoid: Set<string>;
    /** Targets to which this call was sent to be run. Prefills are not counted. */
    readonly attemptedTargets: Set<string>;
    readonly arrivals: CallArrivals;
    /** Whether the call resumes a stream. Such a call is neither refused by a forecast nor deferred. */
    readonly isResumption: boolean;
    /** The only software version that may continue the stream; undefined while the stream has not begun. */
    softwareVersion?: string;
    /** The target to which the call was last sent to be run. */
    target?: ListedTarget;
}

/** Bounds all attempts of a call, including those that never reached a target and therefore cost no retry budget. */
const maxTotalAttempts = 4;
/** A target that restarts, or an engine that takes over the stage of another, needs a few seconds. */
const noTargetRetryDelayMilliseconds = 1_500;
/** With less time left than this, another attempt would only add load. */
const minRetryMilliseconds = 30;

/** Creates the context of a call before its first attempt. */
export function createCallContext(
    start: Omit<CallContext, "guarded" | "history" | "avoid" | "attemptedTargets" | "arrivals" | "target">,
): CallContext {
    return {
        ...start,
        guarded: guardForwardedCall(start.call),
        history: createFailureHistory(),
        avoid: new Set(),
        attemptedTargets: new Set(),
        arrivals: createCallArrivals(),
    };
}

/** Whether a call that may have run may be sent again; a stream is resumed after its last event. */
export function isRepeatable(route: ForwardRoute): boolean {
    return route.kind === CallKind.Idempotent || (route.kind === CallKind.Stream && route.isResumable);
}

/** Creates the final failure of a call: the reason why it ended, and whether any attempt may have run. */
export function createFinalFailure(context: CallContext, last: Failure): Failure {
    return context.history.conclude(context.signal.aborted ? context.signal.reason as Failure : last);
}

/**
 * Records a failed attempt and acquires a retry, within the route's limit and the fleet's retry budget.
 * @param isReached whether the call was sent to the target; a connection that could not be opened costs no budget
 */
export function tryAcquireRetry(
    parts: ForwardingParts,
    context: CallContext,
    failure: Failure,
    isReached: boolean,
): boolean {
    context.history.record(failure);
    const hasTime = context.deadline - parts.clock.monotonicNow() > minRetryMilliseconds;
    const isWorthwhile = isTransientFailure(failure) && context.history.attempts < maxTotalAttempts
        && parts.crashGuard.mayRepeat(context.guarded);
    const isAllowed = isSafeToRetry(failure, isRepeatable(context.route));
    if (context.signal.aborted || !hasTime || !isWorthwhile || !isAllowed) {
        return false;
    }
    const hasUsedAllAttempts = isReached && context.attemptedTargets.size >= context.route.maxAttempts;
    if (hasUsedAllAttempts || (isReached && !acquireFromBudget(parts, context))) {
        return false;
    }
    context.trace.record(EventKind.RequestRetried, {
        reason: failure.reason,
        verdict: failure.verdict,
        attempts: context.history.attempts,
        cause: failure.message,
    });
    return true;
}

function acquireFromBudget(
    { budget, arrivalCounts, metrics }: ForwardingParts,
    { service, trace, history }: CallContext,
): boolean {
    const isAcquired = budget.tryAcquire(service.name);
    arrivalCounts.recordRetry(service.name, isAcquired);
    metrics.recordRetry(service.name, isAcquired);
    if (!isAcquired) {
        trace.record(EventKind.RetryDenied, { service: service.name, attempts: history.attempts });
    }
    return isAcquired;
}

/** Creates the failure of a call for which no target is open. */
export function createNoTargetFailure(
    { service, softwareVersion }: Pick<CallContext, "service" | "softwareVersion">,
    clock: Clock,
): Failure {
    const which = softwareVersion === undefined ? "" : " with the software version that began the stream";
    const message = `No target of service ${service.name}${which} is open.`;
    return notRun(FailureReason.NoTarget, message, clock.wallNow() + noTargetRetryDelayMilliseconds);
}

/** Whether a failed attempt had reached its target. */
export function hasReachedTarget(failure: Failure): boolean {
    return failure.verdict === ExecutionVerdict.MayHaveRun || failure.reason === FailureReason.TargetRefused;
}

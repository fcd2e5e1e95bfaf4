import { type Clock, EventKind, ExecutionVerdict, type Failure, FailureReason, notRun } from "daisyturn-utils";
import type { ForwardExchange } from "../../connection/forwarding/forwardExchange.js";
import type { ForwardedCall } from "../../ports/forwardedCall.js";
import { CallKind, type ForwardRoute, type ForwardService } from "../../version/forwarding/forwardingConfiguration.js";
import { createFailureHistory, type FailureHistory, isWorthAnotherTarget, maySendAgain } from "../retryPolicy.js";
import type { ForwardingParts } from "./forwardingParts.js";
import type { RequestTrace } from "./requestTrace.js";

/** One forwarded call on its way, and what its attempts have shown. */
export interface CallContext {
    readonly call: ForwardedCall;
    readonly route: ForwardRoute;
    readonly service: ForwardService;
    /** Shortest pause that answers of the service may make, in milliseconds. */
    readonly pauseAim: number;
    readonly exchange: ForwardExchange;
    /** Aborted with a `Failure` once the caller is gone or its time is up. */
    readonly signal: AbortSignal;
    /** Monotonic time at which the answer must be whole. */
    readonly deadline: number;
    readonly history: FailureHistory;
    readonly trace: RequestTrace;
    /** Targets that failed this call. */
    readonly avoid: Set<string>;
    /** Targets that were sent this call to run it. */
    readonly attemptedTargets: Set<string>;
}

/** Sends that never reached a target are free, but not without end. */
const maxTotalAttempts = 4;
/** A target that starts anew, or an engine that takes over what another did, needs a few seconds. */
const noTargetRetryDelayMilliseconds = 1_500;
/** With less time left, another attempt would only add load. */
const minRetryMilliseconds = 30;

/** Starts the run of a call, of which nothing has been tried yet. */
export function createCallContext(start: Omit<CallContext, "history" | "avoid" | "attemptedTargets">): CallContext {
    return { ...start, history: createFailureHistory(), avoid: new Set(), attemptedTargets: new Set() };
}

/** Whether a call that may have run may be sent again, from the last event on where it is a stream. */
export function isRepeatable(route: ForwardRoute): boolean {
    return route.kind === CallKind.Idempotent || (route.kind === CallKind.Stream && route.isResumable);
}

/** The final failure of a call: why it ended, and whether any attempt may have run. */
export function createFinalFailure(context: CallContext, last: Failure): Failure {
    return context.history.conclude(context.signal.aborted ? context.signal.reason as Failure : last);
}

/**
 * Notes a failed attempt and takes leave for another one, from the route's limit and the fleet's budget.
 * @param isReached whether the target was sent the call: a connection that could not be made costs no budget
 */
export function tryAcquireRetry(
    parts: ForwardingParts,
    context: CallContext,
    failure: Failure,
    isReached: boolean,
): boolean {
    context.history.record(failure);
    const hasTime = context.deadline - parts.clock.monotonicNow() > minRetryMilliseconds;
    const isWorthwhile = isWorthAnotherTarget(failure) && context.history.attempts < maxTotalAttempts;
    const isAllowed = maySendAgain(failure, isRepeatable(context.route));
    if (context.signal.aborted || !hasTime || !isWorthwhile || !isAllowed) {
        return false;
    }
    const hasUsedAllAttempts = isReached && context.attemptedTargets.size >= context.route.maxAttempts;
    if (hasUsedAllAttempts || (isReached && !parts.budget.tryAcquire(context.service.name))) {
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

/** Nobody can take the call now. */
export function createNoTargetFailure(context: Pick<CallContext, "service">, clock: Clock): Failure {
    const message = `No target of service ${context.service.name} is open.`;
    return notRun(FailureReason.NoTarget, message, clock.wallNow() + noTargetRetryDelayMilliseconds);
}

/** Whether a failed send had reached its target. */
export function hasReachedTarget(failure: Failure): boolean {
    return failure.verdict === ExecutionVerdict.MayHaveRun || failure.reason === FailureReason.TargetRefused;
}

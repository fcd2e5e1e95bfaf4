import { EventKind, type Failure } from "daisyturn-utils";
import type { RetryDemand, RetryPermit } from "../../../process/forwarding/index.js";
import { isSafeToRetry, isTransientFailure } from "../../retryPolicy.js";
import { type CallContext, estimateReturn, isRepeatable } from "../callContext.js";
import type { ForwardingParts } from "../forwardingParts.js";

/** A failed attempt, by which a retry is decided. */
export interface FailedAttempt {
    readonly failure: Failure;
    /** Whether the call was sent to the target. */
    readonly isReached: boolean;
    /** Whether the retry may have a separate prefill, which is another repeat. */
    readonly mayPrefill: boolean;
}

/** Bounds all attempts of a call, including those that never reached a target and therefore cost no retry budget. */
const maxTotalAttempts = 4;
/** With less time left than this, another attempt would only add load. */
const minRetryMilliseconds = 30;

/**
 * Records a failed attempt and acquires the repeats of a retry, within the route's limit and the fleet's retry budget. If
 * this process has none left, others may lease it some; a call waits for that only while any of them may have some.
 */
export async function acquireRetry(
    parts: ForwardingParts,
    context: CallContext,
    { failure, isReached, mayPrefill }: FailedAttempt,
): Promise<boolean> {
    const { history, arrivals, trace } = context;
    history.record(failure);
    if (!isRetryUseful(parts, context, failure) || (isReached && hasUsedAllAttempts(context))) {
        return false;
    }
    const demand = {
        wanted: arrivals.countRepeats(mayPrefill),
        least: arrivals.countRepeats(false),
        hasStarted: context.exchange.isHeadSent() || context.isResumption,
    };
    if (demand.least > 0 && !await acquireRepeats(parts, context, demand)) {
        return false;
    }
    trace.record(EventKind.RequestRetried, {
        reason: failure.reason,
        verdict: failure.verdict,
        attempts: history.attempts,
        cause: failure.message,
    });
    return true;
}

/** A retry is of no use while all targets rest. */
function isRetryUseful(parts: ForwardingParts, context: CallContext, failure: Failure): boolean {
    const isWorthwhile = isTransientFailure(failure) && context.history.attempts < maxTotalAttempts
        && parts.crashGuard.mayRepeat(context.guarded);
    return isWorthwhile && isSafeToRetry(failure, isRepeatable(context.route)) && hasTime(parts, context)
        && estimateReturn(parts, context.service.name) === undefined;
}

function hasTime({ clock }: ForwardingParts, { signal, deadline }: CallContext): boolean {
    return !signal.aborted && deadline - clock.monotonicNow() > minRetryMilliseconds;
}

function hasUsedAllAttempts({ attemptedTargets, route }: CallContext): boolean {
    return attemptedTargets.size >= route.maxAttempts;
}

async function acquireRepeats(parts: ForwardingParts, context: CallContext, demand: RetryDemand): Promise<boolean> {
    const service = context.service.name;
    context.arrivals.setPermit(undefined);
    const permit = parts.budget.tryAcquire(service, demand) ?? await acquireLeased(parts, context, demand);
    const isAcquired = permit !== undefined && hasTime(parts, context);
    context.arrivals.setPermit(permit);
    parts.arrivalCounts.recordRetry(service, isAcquired);
    parts.metrics.recordRetry(service, isAcquired);
    if (!isAcquired) {
        const { left, limit, leased } = parts.budget.status(service);
        context.trace.record(EventKind.RetryDenied, {
            service,
            attempts: context.history.attempts,
            left: Math.floor(left),
            limit: Math.floor(limit),
            leased,
        });
    }
    return isAcquired;
}

async function acquireLeased(
    { budget, requestRetryLease, clock }: ForwardingParts,
    { service, deadline }: CallContext,
    demand: RetryDemand,
): Promise<RetryPermit | undefined> {
    const isLeased = await requestRetryLease(service.name, deadline - minRetryMilliseconds);
    return isLeased && clock.monotonicNow() < deadline ? budget.tryAcquire(service.name, demand) : undefined;
}

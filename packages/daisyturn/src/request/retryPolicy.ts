import { type Clock, ExecutionVerdict, type Failure, FailureReason, mayHaveRun, notRun } from "daisyturn-utils";

/** Attempts of one request, the first included. */
export const maxAttempts = 5;

/** When to ask again if nobody has said anything better. */
const defaultRetryDelayMilliseconds = 1_000;

/** Reasons that lie with the target or the moment, so that another target or another moment may do better. */
const transientReasons: ReadonlySet<FailureReason> = new Set([
    FailureReason.Overloaded,
    FailureReason.NoTarget,
    FailureReason.TargetRefused,
    FailureReason.TargetFailed,
    FailureReason.StreamBroken,
    FailureReason.OutOfService,
    FailureReason.StoreUnavailable,
    FailureReason.PeerUnavailable,
]);

/** Whether another target may succeed where one failed. */
export function isTransientFailure(failure: Failure): boolean {
    return transientReasons.has(failure.reason);
}

/** Whether a call may be sent again after a failure. */
export function isSafeToRetry(failure: Failure, idempotent: boolean): boolean {
    return idempotent || failure.verdict === ExecutionVerdict.NotRun;
}

/** Failures of one request's attempts, from which its final answer is made. */
export interface FailureHistory {
    record(failure: Failure): void;
    readonly attempts: number;
    /** The final failure: it may have run if any attempt may have. */
    conclude(last: Failure): Failure;
}

/** Creates the history of one request. */
export function createFailureHistory(): FailureHistory {
    let attempts = 0;
    let anyMayHaveRun = false;
    return {
        get attempts() {
            return attempts;
        },
        record: failure => {
            attempts += 1;
            anyMayHaveRun ||= failure.verdict === ExecutionVerdict.MayHaveRun;
        },
        conclude: last => anyMayHaveRun ? mayHaveRun(last.reason, last.message, last.retryAt) : last,
    };
}

/**
 * Adds the time of a retry where one makes sense and nobody has named it: after a passing trouble, if a repeated
 * request can do no harm.
 */
export function addRetryTime(failure: Failure, clock: Clock, idempotent: boolean): Failure {
    if (failure.retryAt !== undefined || !isTransientFailure(failure) || !isSafeToRetry(failure, idempotent)) {
        return failure;
    }
    const build = failure.verdict === ExecutionVerdict.NotRun ? notRun : mayHaveRun;
    return build(failure.reason, failure.message, clock.wallNow() + defaultRetryDelayMilliseconds);
}

import { type Clock, ExecutionVerdict, type Failure, FailureReason, mayHaveRun, notRun } from "daisyturn-utils";

/** Maximum number of attempts of one request, including the first. */
export const maxAttempts = 5;

/** Retry delay for failures that specify none. */
const defaultRetryDelayMilliseconds = 1_000;

/** Reasons that depend on the target or the time, so that another target or a later attempt may succeed. */
const transientReasons: ReadonlySet<FailureReason> = new Set([
    FailureReason.Overloaded,
    FailureReason.NoTarget,
    FailureReason.TargetRefused,
    FailureReason.TargetFailed,
    FailureReason.LinkFailed,
    FailureReason.StreamBroken,
    FailureReason.OutOfService,
    FailureReason.StoreUnavailable,
    FailureReason.PeerUnavailable,
]);

/** Whether another target or a later attempt may succeed. */
export function isTransientFailure(failure: Failure): boolean {
    return transientReasons.has(failure.reason);
}

/** Whether a call may be sent again after a failure, because it is idempotent or has certainly not run. */
export function isSafeToRetry(failure: Failure, idempotent: boolean): boolean {
    return idempotent || failure.verdict === ExecutionVerdict.NotRun;
}

/** Failures of the attempts of one request, from which its final failure is created. */
export interface FailureHistory {
    record(failure: Failure): void;
    readonly attempts: number;
    /** Creates the final failure. Its verdict is MayHaveRun if any attempt may have run. */
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
 * Adds a retry time to a failure that has none, if it is transient and a repeated request is safe.
 */
export function addRetryTime(failure: Failure, clock: Clock, idempotent: boolean): Failure {
    if (failure.retryAt !== undefined || !isTransientFailure(failure) || !isSafeToRetry(failure, idempotent)) {
        return failure;
    }
    const build = failure.verdict === ExecutionVerdict.NotRun ? notRun : mayHaveRun;
    return build(failure.reason, failure.message, clock.wallNow() + defaultRetryDelayMilliseconds);
}

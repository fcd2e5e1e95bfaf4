/**
 * Whether a failed request may have been executed. Every failure in daisyturn carries a verdict, because a
 * non-idempotent request may only be repeated after {@link ExecutionVerdict.NotRun}.
 */
export enum ExecutionVerdict {
    /** No byte of the request reached a target, or the target stated that the request did not run. */
    NotRun = "not_run",
    /** The request may have run. It must not be repeated unless it is idempotent. */
    MayHaveRun = "may_have_run",
}

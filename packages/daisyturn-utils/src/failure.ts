import { ExecutionVerdict } from "./verdict.js";

/** Why a request, a store call or an order failed. The values appear in error responses to callers and in logs. */
export enum FailureReason {
    BadRequest = "bad_request",
    Unauthenticated = "unauthenticated",
    Forbidden = "forbidden",
    NotFound = "not_found",
    Conflict = "conflict",
    BodyTooLarge = "body_too_large",
    HeaderTooLarge = "header_too_large",
    RateLimited = "rate_limited",
    Overloaded = "overloaded",
    DeadlineUnreachable = "deadline_unreachable",
    DeadlinePassed = "deadline_passed",
    NoTarget = "no_target",
    /** No process knows which software version began the stream that the request resumes. */
    UnknownOrigin = "unknown_origin",
    /** The target names a limit of requests, and no token of it was left. Nothing was sent. */
    TargetFull = "target_full",
    TargetRefused = "target_refused",
    TargetFailed = "target_failed",
    /** No connection to the target could be opened, and nothing shows that the target is at fault. */
    LinkFailed = "link_failed",
    /** Several targets ended while they ran the same request. */
    CrashesTargets = "crashes_targets",
    StreamBroken = "stream_broken",
    Cancelled = "cancelled",
    StoreUnavailable = "store_unavailable",
    OutcomeUnknown = "outcome_unknown",
    IdempotencyKeyReused = "idempotency_key_reused",
    AlreadyRunning = "already_running",
    PeerUnavailable = "peer_unavailable",
    LeaseLost = "lease_lost",
    OutOfService = "out_of_service",
    Internal = "internal",
}

/** The error side of every `Result` in daisyturn. */
export interface Failure {
    readonly verdict: ExecutionVerdict;
    readonly reason: FailureReason;
    /** A human-readable sentence. It never contains secrets or text from a caller. */
    readonly message: string;
    /** Wall-clock time, in milliseconds since the epoch, before which a retry is pointless. */
    readonly retryAt?: number;
}

/** Creates a failure of a request that certainly did not run. */
export function notRun(reason: FailureReason, message: string, retryAt?: number): Failure {
    return createFailure(ExecutionVerdict.NotRun, reason, message, retryAt);
}

/** Creates a failure of a request that may have run. */
export function mayHaveRun(reason: FailureReason, message: string, retryAt?: number): Failure {
    return createFailure(ExecutionVerdict.MayHaveRun, reason, message, retryAt);
}

function createFailure(
    verdict: ExecutionVerdict,
    reason: FailureReason,
    message: string,
    retryAt: number | undefined,
): Failure {
    return retryAt === undefined ? { verdict, reason, message } : { verdict, reason, message, retryAt };
}

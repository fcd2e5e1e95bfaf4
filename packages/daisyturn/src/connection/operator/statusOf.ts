import { type Failure, FailureReason } from "daisyturn-utils";

const statusOfReason: Partial<Record<FailureReason, number>> = {
    [FailureReason.BadRequest]: 400,
    [FailureReason.Unauthenticated]: 401,
    [FailureReason.Forbidden]: 403,
    [FailureReason.NotFound]: 404,
    [FailureReason.Conflict]: 409,
    [FailureReason.BodyTooLarge]: 413,
    [FailureReason.IdempotencyKeyReused]: 422,
    [FailureReason.RateLimited]: 429,
    [FailureReason.StoreUnavailable]: 503,
    [FailureReason.OutcomeUnknown]: 503,
    [FailureReason.PeerUnavailable]: 503,
    [FailureReason.LeaseLost]: 503,
    [FailureReason.OutOfService]: 503,
};
const statusOfOtherFailures = 500;

/** Returns the HTTP status for a failure of an operator's request. */
export function statusOf(failure: Failure): number {
    return statusOfReason[failure.reason] ?? statusOfOtherFailures;
}

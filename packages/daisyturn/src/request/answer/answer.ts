import { type Clock, ExecutionVerdict, type Failure, FailureReason } from "daisyturn-utils";
import type { AnswerHeaders, CallerAnswer } from "../callerExchange.js";

const millisecondsPerSecond = 1000;
const unavailableStatus = 503;

/** HTTP status of each failure reason. */
const statusByReason: Readonly<Record<FailureReason, number>> = {
    [FailureReason.BadRequest]: 400,
    [FailureReason.Unauthenticated]: 401,
    [FailureReason.Forbidden]: 403,
    [FailureReason.NotFound]: 404,
    [FailureReason.Conflict]: 409,
    [FailureReason.AlreadyRunning]: 409,
    [FailureReason.BodyTooLarge]: 413,
    [FailureReason.HeaderTooLarge]: 431,
    [FailureReason.IdempotencyKeyReused]: 422,
    [FailureReason.RateLimited]: 429,
    [FailureReason.Cancelled]: 499,
    [FailureReason.Internal]: 500,
    [FailureReason.TargetFailed]: 502,
    [FailureReason.StreamBroken]: 502,
    [FailureReason.OutcomeUnknown]: 502,
    [FailureReason.CrashesTargets]: 503,
    [FailureReason.Overloaded]: 503,
    [FailureReason.DeadlineUnreachable]: 503,
    [FailureReason.NoTarget]: 503,
    [FailureReason.UnknownOrigin]: 503,
    [FailureReason.LinkFailed]: 503,
    [FailureReason.TargetFull]: 503,
    [FailureReason.TargetRefused]: 503,
    [FailureReason.StoreUnavailable]: 503,
    [FailureReason.PeerUnavailable]: 503,
    [FailureReason.LeaseLost]: 503,
    [FailureReason.OutOfService]: 503,
    [FailureReason.DeadlinePassed]: 504,
};

/** Returns the HTTP status with which a failure is reported to a caller. */
export function statusOfFailure(reason: FailureReason): number {
    return statusByReason[reason];
}

/** Error body in the format of the OpenAI HTTP API, with the verdict added. */
export interface ErrorBody {
    readonly error: {
        readonly message: string;
        readonly type: string;
        readonly code: FailureReason;
        readonly verdict: string;
        /** Earliest wall-clock time for a retry, in milliseconds. */
        readonly retry_at?: number;
    };
}

/** Builds the error body of a failure. */
export function buildErrorBody(failure: Failure): ErrorBody {
    return {
        error: {
            message: failure.message,
            type: describeType(statusByReason[failure.reason]),
            code: failure.reason,
            verdict: failure.verdict,
            retry_at: failure.retryAt && Math.ceil(failure.retryAt),
        },
    };
}

/** Builds the complete answer that refuses a request, or tells that it failed. */
export function buildRefusal(failure: Failure, clock: Clock): CallerAnswer {
    const status = statusOfFailure(failure.reason);
    const isRefusal = failure.verdict === ExecutionVerdict.NotRun;
    return {
        // Clients take 503 for a promise that the request has not run.
        status: status === unavailableStatus && !isRefusal ? statusOfFailure(FailureReason.OutcomeUnknown) : status,
        contentType: "application/json",
        body: JSON.stringify(buildErrorBody(failure)),
        headers: buildRetryHeaders(failure, clock),
    };
}

/** Adds `X-Should-Retry`, because the public clients otherwise decide by the status alone. */
function buildRetryHeaders(failure: Failure, clock: Clock): AnswerHeaders {
    if (failure.retryAt === undefined) {
        return { "X-Should-Retry": "false" };
    }
    const delay = Math.ceil((failure.retryAt - clock.wallNow()) / millisecondsPerSecond);
    return { "Retry-After": String(Math.max(1, delay)), "X-Should-Retry": "true" };
}

function describeType(status: number): string {
    if (status === statusByReason[FailureReason.RateLimited]) {
        return "rate_limit_error";
    }
    return status < statusByReason[FailureReason.Internal] ? "invalid_request_error" : "server_error";
}

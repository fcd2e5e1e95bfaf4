import { encodeNotification, type Notification, readAmount, readName, readOrUndefined } from "./notification.js";

/** Asks another process for a lease of repeats. It is answered by a {@link RetryLeaseMessage}. */
export interface RetryLeaseRequest {
    readonly from: string;
    /** Number of the request, which its answer repeats. */
    readonly requestId: number;
    readonly service: string;
    readonly wanted: number;
    /** Milliseconds for which the lease is to last. */
    readonly duration: number;
}

/** Answers a request with the number of leased repeats, which may be 0. */
export interface RetryLeaseMessage {
    readonly from: string;
    readonly requestId: number;
    readonly count: number;
}

export const retryLeaseRequestMethod = "request_retry_lease";
export const retryLeaseMethod = "retry_lease";
/** Far more than one process can spend within a lease. */
const maxRepeats = 1_000;
const maxDurationMilliseconds = 60_000;

export function encodeRetryLeaseRequest(request: RetryLeaseRequest): Buffer {
    return encodeNotification(retryLeaseRequestMethod, request);
}

export function encodeRetryLease(lease: RetryLeaseMessage): Buffer {
    return encodeNotification(retryLeaseMethod, lease);
}

/** Decodes a request. Returns undefined if a field is missing or invalid. */
export function readRetryLeaseRequest({ method, params }: Notification): RetryLeaseRequest | undefined {
    return method === retryLeaseRequestMethod
        ? readOrUndefined(() => ({
            from: readName(params["from"]),
            requestId: readAmount(params["requestId"]),
            service: readName(params["service"]),
            wanted: readAmount(params["wanted"], maxRepeats),
            duration: readAmount(params["duration"], maxDurationMilliseconds),
        }))
        : undefined;
}

/** Decodes a lease. Returns undefined if a field is missing or invalid. */
export function readRetryLease({ method, params }: Notification): RetryLeaseMessage | undefined {
    return method === retryLeaseMethod
        ? readOrUndefined(() => ({
            from: readName(params["from"]),
            requestId: readAmount(params["requestId"]),
            count: Math.floor(readAmount(params["count"], maxRepeats)),
        }))
        : undefined;
}

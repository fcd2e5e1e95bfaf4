import type { Failure } from "daisyturn-utils";
import type { Result } from "true-myth/result";

/** A call to a plain service. */
export interface ServiceCall {
    /** Unique, never reused. */
    readonly callId: string;
    readonly method: string;
    /** Path and query after the service's prefix, with a leading slash. */
    readonly path: string;
    readonly contentType?: string;
    readonly body: string;
    /** Wall-clock time, in milliseconds, after which the answer is no longer needed. */
    readonly deadline: number;
}

/** A service's answer. An HTTP error status is also an answer: the call has run. */
export interface ServiceAnswer {
    readonly status: number;
    readonly contentType: string;
    readonly body: string;
}

/** One plain service instance. Adapters implement its wire protocol. */
export abstract class PlainService {
    abstract readonly targetId: string;
    /** A failure's verdict states whether the call may have run. */
    abstract invoke(call: ServiceCall, signal: AbortSignal): Promise<Result<ServiceAnswer, Failure>>;
}

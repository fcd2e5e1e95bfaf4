import type { Failure } from "daisyturn-utils";
import type { Result } from "true-myth/result";

/** Permission to load one set of weights from the rate-limited weight store. */
export interface WeightGrant {
    readonly grantId: string;
    /** Wall-clock time, in milliseconds, by which the load must start. */
    readonly validUntil: number;
}

/** The platform's rate-limited weight store, as used by the process that orders engines to load weights. */
export abstract class WeightStore {
    /** Requests permission for one engine to load `artifact`. Over the rate limit: a NotRun failure with `retryAt`. */
    abstract requestLoad(artifact: string, deadline: number): Promise<Result<WeightGrant, Failure>>;
}

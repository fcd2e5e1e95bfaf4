import type { Failure } from "daisyturn-utils";
import type { Result } from "true-myth/result";

/** Leave to read one set of weights from the rate-limited weight store. */
export interface WeightGrant {
    readonly grantId: string;
    /** Wall-clock time, in milliseconds, until which the load must have begun. */
    readonly validUntil: number;
}

/** The platform's rate-limited weight store, as seen by the process that orders engines to load. */
export abstract class WeightStore {
    /** Asks for the right to have one engine load `artifact`. Over the rate: a NotRun failure with `retryAt`. */
    abstract requestLoad(artifact: string, deadline: number): Promise<Result<WeightGrant, Failure>>;
}

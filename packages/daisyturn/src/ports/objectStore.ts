import type { Failure } from "daisyturn-utils";
import type { Result } from "true-myth/result";

/** The platform's object store. Objects are named and are always written as a whole. */
export abstract class ObjectStore {
    abstract put(name: string, body: string, deadline: number): Promise<Result<void, Failure>>;
    /** An absent object is a failure with the reason NotFound. */
    abstract get(name: string, deadline: number): Promise<Result<string, Failure>>;
}

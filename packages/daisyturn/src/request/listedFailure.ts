import { type Failure, FailureReason, notRun } from "daisyturn-utils";
import type { ListedCall } from "../process/crashes/index.js";

/**
 * Creates the failure of a request that is kept out of targets.
 * @param retryAt wall-clock time at which the evidence lapses; absent if the caller is to be told not to come back
 */
export function createListedFailure({ targetIds }: ListedCall, retryAt?: number): Failure {
    return notRun(
        FailureReason.CrashesTargets,
        `${targetIds.length} targets ended while they ran this request.`,
        retryAt,
    );
}

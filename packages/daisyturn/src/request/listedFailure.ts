import { type Failure, FailureReason, notRun } from "daisyturn-utils";
import { isPartFingerprint, type ListedSuspect } from "../process/crashes/index.js";

/**
 * Creates the failure of a request that is kept out of targets.
 * @param retryAt wall-clock time at which the evidence lapses; absent if the caller is to be told not to come back
 */
export function createListedFailure({ fingerprint, targetIds }: ListedSuspect, retryAt?: number): Failure {
    return notRun(
        FailureReason.CrashesTargets,
        `${targetIds.length} targets ended while they ran ${
            isPartFingerprint(fingerprint) ? "requests with a part of this prompt" : "this request"
        }.`,
        retryAt,
    );
}

import { type Failure, FailureReason, mayHaveRun } from "daisyturn-utils";

/** Counts the interim answers (RFC 9110, section 15.2) that precede a final one. */
export interface InterimAnswers {
    /**
     * @param status one that is not final
     * @returns a failure if the final answer is not to be waited for
     */
    record(status: number): Failure | undefined;
}

/** HTTP has no statuses outside 100 to 599 (RFC 9110, section 15). */
const firstInterimStatus = 100;
const firstFinalStatus = 200;
const lastFinalStatus = 599;
const switchingProtocolsStatus = 101;
/** A target that reports its progress sends a few a second at most. */
const maxInterimAnswers = 1_000;

/** Whether a status is that of a final answer. Any other one is that of an interim answer, or one that HTTP does not have. */
export function isFinal(status: number): boolean {
    return status >= firstFinalStatus && status <= lastFinalStatus;
}

/** Creates the count of one call. */
export function createInterimAnswers(): InterimAnswers {
    let count = 0;
    return {
        record: status => {
            count += 1;
            // Below the range, undici fails an assertion at the end of the answer, whose message takes Node.js long to create.
            if (status < firstInterimStatus || status > lastFinalStatus) {
                return mayHaveRun(FailureReason.TargetFailed, `The target answered with status ${status}.`);
            }
            if (status === switchingProtocolsStatus) {
                return mayHaveRun(FailureReason.TargetFailed, "The target switched to another protocol.");
            }
            return count > maxInterimAnswers
                ? mayHaveRun(FailureReason.TargetFailed, "The target sends interim answers without end.")
                : undefined;
        },
    };
}

import { type Failure, FailureReason, mayHaveRun } from "daisyturn-utils";

/** Counts the interim answers (RFC 9110, section 15.2) that precede a final one. */
export interface InterimAnswers {
    /** @returns a failure if the final answer is not to be waited for */
    record(status: number): Failure | undefined;
}

const firstInterimStatus = 100;
const firstFinalStatus = 200;
const switchingProtocolsStatus = 101;
/** A target that reports its progress sends a few a second at most. */
const maxInterimAnswers = 1_000;

/** Whether a status is that of an interim answer, which the final one follows, or one that HTTP does not have. */
export function isInterim(status: number): boolean {
    return status < firstFinalStatus;
}

/** Creates the count of one call. */
export function createInterimAnswers(): InterimAnswers {
    let count = 0;
    return {
        record: status => {
            count += 1;
            // undici fails an assertion at the end of such an answer, whose message takes Node.js long to create.
            if (status < firstInterimStatus) {
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

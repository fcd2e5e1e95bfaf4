const secondMilliseconds = 1_000;
const hourMilliseconds = 3_600 * secondMilliseconds;
const dayMilliseconds = 24 * hourMilliseconds;

/** Time limits, size limits and retention times of claims. */
export interface ClaimLimits {
    /** Maximum time between the start of the claim's write and the sending of the call. */
    readonly sendWindowMilliseconds: number;
    /**
     * How long a process must have observed an abandoned claim unchanged before it settles it. Longer than the send
     * window and the time in which a connection to a target is established or abandoned, so that the call of a settled
     * claim is no longer sent.
     */
    readonly settleWaitMilliseconds: number;
    /** Maximum size of an answer's body that is stored for replay. */
    readonly keptAnswerBytes: number;
    readonly answeredRetentionMilliseconds: number;
    readonly unknownRetentionMilliseconds: number;
    /** Longer than any write can be in transit to the table service. */
    readonly freeRetentionMilliseconds: number;
}

/** Defaults for calls of a few seconds and callers that repeat a request within a day. */
export const defaultClaimLimits: ClaimLimits = {
    sendWindowMilliseconds: 5 * secondMilliseconds,
    settleWaitMilliseconds: 15 * secondMilliseconds,
    keptAnswerBytes: 64 * 1024,
    answeredRetentionMilliseconds: dayMilliseconds,
    unknownRetentionMilliseconds: 7 * dayMilliseconds,
    freeRetentionMilliseconds: hourMilliseconds,
};

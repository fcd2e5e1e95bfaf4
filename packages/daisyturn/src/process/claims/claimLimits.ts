const secondMilliseconds = 1_000;
const hourMilliseconds = 3_600 * secondMilliseconds;
const dayMilliseconds = 24 * hourMilliseconds;

/** Settings of claims. */
export interface ClaimLimits {
    /** A call is not sent later than this after its claim's write began. */
    readonly sendWindowMilliseconds: number;
    /**
     * How long a process must have seen an abandoned claim unchanged before it settles it. Longer than the send window
     * and the time in which a connection to a target is made or given up: what is settled is then no longer sent.
     */
    readonly settleWaitMilliseconds: number;
    /** Bytes of an answer's body, at most, that are kept for replay. */
    readonly keptAnswerBytes: number;
    readonly answeredRetentionMilliseconds: number;
    readonly unknownRetentionMilliseconds: number;
    /** Longer than any write can be on its way to the table service. */
    readonly freeRetentionMilliseconds: number;
}

/** Limits that suit calls of some seconds and callers that ask again within a day. */
export const defaultClaimLimits: ClaimLimits = {
    sendWindowMilliseconds: 5 * secondMilliseconds,
    settleWaitMilliseconds: 15 * secondMilliseconds,
    keptAnswerBytes: 64 * 1024,
    answeredRetentionMilliseconds: dayMilliseconds,
    unknownRetentionMilliseconds: 7 * dayMilliseconds,
    freeRetentionMilliseconds: hourMilliseconds,
};

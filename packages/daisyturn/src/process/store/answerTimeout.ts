/**
 * Adaptive timeout for an answer of the store, after which the call is tried again. It follows the response times of
 * the store, including late answers to calls that were tried again, so that calls wait long enough for a slow store.
 * Source: RFC 6298, "Computing TCP's Retransmission Timer", without doubling the timeout when it expires. RFC 6298
 * doubles it because an answer can't be matched to its attempt. Here it can, and a lost answer says nothing about the
 * response time of the next one.
 */
export interface AnswerTimeout {
    /** The timeout in milliseconds. */
    current(): number;
    /** @param milliseconds response time of the answer */
    recordAnswer(milliseconds: number): void;
}

/** Bounds of the timeout, in milliseconds. */
export interface AnswerTimeoutOptions {
    readonly minMilliseconds: number;
    readonly maxMilliseconds: number;
}

const smoothing = 1 / 8;
const deviationSmoothing = 1 / 4;
const deviationsWaited = 4;

/** Creates the timeout. Until the first answer it is `minMilliseconds`. */
export function createAnswerTimeout(options: AnswerTimeoutOptions): AnswerTimeout {
    const { minMilliseconds, maxMilliseconds } = options;
    let mean: number | undefined;
    let deviation = 0;
    let timeout = minMilliseconds;

    const bound = (milliseconds: number) => Math.min(maxMilliseconds, Math.max(minMilliseconds, milliseconds));

    return {
        current: () => timeout,
        recordAnswer: milliseconds => {
            if (mean === undefined) {
                mean = milliseconds;
                deviation = milliseconds / 2;
            }
            else {
                deviation += deviationSmoothing * (Math.abs(mean - milliseconds) - deviation);
                mean += smoothing * (milliseconds - mean);
            }
            timeout = bound(mean + deviationsWaited * deviation);
        },
    };
}

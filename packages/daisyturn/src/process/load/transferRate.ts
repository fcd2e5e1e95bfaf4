/** How long it takes to carry a prompt's KV cache from one engine to another, learned from what was seen. */
export interface TransferRate {
    /** Milliseconds for the cache of so many tokens. */
    estimate(tokens: number): number;
    observe(tokens: number, milliseconds: number): void;
}

/** Until transfers were seen: some 160 kB a token over a link of 16 GB a second. */
const assumedTokensPerMillisecond = 100;
const setupMilliseconds = 2;
/** How much one transfer moves the estimate. */
const gain = 0.1;
/** A single transfer counts as at most this many times too slow or too fast. */
const sampleRatioLimit = 4;

/** Creates the estimate; one serves all pairs of engines of a cell. */
export function createTransferRate(): TransferRate {
    let logFactor = 0;
    const estimate = (tokens: number) =>
        Math.exp(logFactor) * (setupMilliseconds + tokens / assumedTokensPerMillisecond);
    return {
        estimate,
        observe: (tokens, milliseconds) => {
            const ratio = Math.max(milliseconds, 0.1) / estimate(tokens);
            const limited = Math.min(sampleRatioLimit, Math.max(1 / sampleRatioLimit, ratio));
            logFactor += gain * Math.log(limited);
        },
    };
}

/** Estimates the time to transfer a prompt's KV cache from one engine to another, from observed transfers. */
export interface TransferRate {
    /** Milliseconds to transfer the KV cache of `tokens` tokens. */
    estimate(tokens: number): number;
    observe(tokens: number, milliseconds: number): void;
}

/** Used until a transfer is observed: about 160 kB per token over a link of 16 GB/s. */
const assumedTokensPerMillisecond = 100;
const setupMilliseconds = 2;
/** Weight of one transfer in the moving average. */
const smoothingFactor = 0.1;
/** Limits the ratio of one transfer's time to its estimate, in both directions. */
const maxSampleRatio = 4;

/** Creates the estimate, which all pairs of engines in a cell share. */
export function createTransferRate(): TransferRate {
    let logFactor = 0;
    const estimate = (tokens: number) =>
        Math.exp(logFactor) * (setupMilliseconds + tokens / assumedTokensPerMillisecond);
    return {
        estimate,
        observe: (tokens, milliseconds) => {
            const ratio = Math.max(milliseconds, 0.1) / estimate(tokens);
            const limited = Math.min(maxSampleRatio, Math.max(1 / maxSampleRatio, ratio));
            logFactor += smoothingFactor * Math.log(limited);
        },
    };
}

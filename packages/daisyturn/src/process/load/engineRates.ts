import { createLineFit, type LinePrior } from "./lineFit.js";

/**
 * Prefill and decode rates of one engine, learned from its reports and from the streams of this process. Both times per
 * token grow with the number of streams in the engine's batch. The rates that the engine reports are only a prior.
 */
export interface EngineRates {
    /** Applies the rates of a report, in tokens per second. A rate of zero or less is ignored. */
    setPrior(prefillRate: number, decodeRate: number): void;
    /** Prompt tokens prefilled per millisecond while `streams` streams decode. */
    prefillPerMillisecond(streams: number): number;
    /** Milliseconds between two tokens of a stream in a batch of `streams`. */
    betweenTokens(streams: number): number;
    /**
     * Records a first token that was predicted after `predicted` milliseconds and arrived after `actual`.
     * @param certainty from 0 to 1: the fraction of the prediction that is due to the request's own prefill. The rest
     * is due to other requests, whose work is known less accurately.
     */
    observeFirstToken(streams: number, predicted: number, actual: number, certainty: number): void;
    /** Records the prefilled prompt tokens per millisecond of a time in which the prefill queue was never empty. */
    observePrefill(streams: number, tokensPerMillisecond: number): void;
    /** Records the mean milliseconds between tokens of a stream that ran in a batch of `streams`. */
    observeBetweenTokens(streams: number, milliseconds: number): void;
    /**
     * Reduces the weight of earlier observations. Called with each report, so that an engine that was slow and gets no
     * work approaches its prior again.
     */
    decay(): void;
}

/** Tokens per second, used until an engine reports its rates. */
const assumedPrefillRate = 5_000;
const assumedDecodeRate = 50;
const millisecondsPerSecond = 1_000;
/** Limits the ratio of one observation to its estimate, in both directions. */
const maxSampleRatio = 4;
/** First tokens with a lower certainty are ignored, because they depend mostly on other requests. */
const minCertainty = 0.6;
/** Weight of each prior point, in observations. */
const priorWeight = 2;
/** Without observations, a batch of this many streams is presumed to slow prefill and decode by these factors. */
const priorBatch = 32;
const priorPrefillSlowdown = 1.5;
const priorDecodeSlowdown = 2;
/** Factor by which the weight of earlier observations decays with each report. */
const decayPerReport = 0.98;

/** Creates the estimate for one engine. */
export function createEngineRates(): EngineRates {
    let prefillPrior = millisecondsPerSecond / assumedPrefillRate;
    let decodePrior = millisecondsPerSecond / assumedDecodeRate;
    /** Milliseconds per prompt token. */
    const prefill = createLineFit(createPrior(prefillPrior, priorPrefillSlowdown));
    /** Milliseconds between tokens. */
    const decode = createLineFit(createPrior(decodePrior, priorDecodeSlowdown));

    const setPrior = (prefillRate: number, decodeRate: number) => {
        const nextPrefill = prefillRate > 0 ? millisecondsPerSecond / prefillRate : prefillPrior;
        const nextDecode = decodeRate > 0 ? millisecondsPerSecond / decodeRate : decodePrior;
        if (nextPrefill !== prefillPrior) {
            prefillPrior = nextPrefill;
            prefill.setPrior(createPrior(prefillPrior, priorPrefillSlowdown));
        }
        if (nextDecode !== decodePrior) {
            decodePrior = nextDecode;
            decode.setPrior(createPrior(decodePrior, priorDecodeSlowdown));
        }
    };

    const observeRatio = (streams: number, ratio: number, weight: number) => {
        const limited = Math.min(maxSampleRatio, Math.max(1 / maxSampleRatio, ratio));
        prefill.add(streams, prefill.at(streams) * limited, weight);
    };

    return {
        setPrior,
        prefillPerMillisecond: streams => 1 / prefill.at(streams),
        betweenTokens: streams => decode.at(Math.max(1, streams)),
        observeFirstToken: (streams, predicted, actual, certainty) => {
            if (certainty >= minCertainty) {
                observeRatio(streams, actual / Math.max(predicted, 1), certainty);
            }
        },
        observePrefill: (streams, tokensPerMillisecond) =>
            observeRatio(streams, 1 / tokensPerMillisecond / prefill.at(streams), 1),
        observeBetweenTokens: (streams, milliseconds) => decode.add(Math.max(1, streams), milliseconds, 1),
        decay: () => {
            prefill.decay(decayPerReport);
            decode.decay(decayPerReport);
        },
    };
}

function createPrior(single: number, slowdown: number): LinePrior {
    return { points: [[1, single], [priorBatch, single * slowdown]], weight: priorWeight };
}

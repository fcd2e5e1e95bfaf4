import { createLineFit, type LinePrior } from "./lineFit.js";

/**
 * How fast one engine really is, learned from its reports and from the streams of this process. Both its times per
 * token grow with the streams in its batch. The engine's own figures serve as a prior only.
 */
export interface EngineRates {
    /** Takes over the figures of a report, in tokens a second. Zero or less counts as not given. */
    setPrior(prefillRate: number, decodeRate: number): void;
    /** Prompt tokens prefilled a millisecond beside a batch of `streams`. */
    prefillPerMillisecond(streams: number): number;
    /** Milliseconds between two tokens of one stream in a batch of `streams`. */
    betweenTokens(streams: number): number;
    /**
     * Takes in a first token that was predicted after `predicted` milliseconds and came after `actual`.
     * @param certainty from 0 to 1: the part of the prediction that rests on the request's own prefill and not on
     * others' work, which is known less well
     */
    observeFirstToken(streams: number, predicted: number, actual: number, certainty: number): void;
    /** Takes in prompt tokens prefilled a millisecond while there was always more to prefill. */
    observePrefill(streams: number, tokensPerMillisecond: number): void;
    /** Takes in the mean milliseconds between tokens of a stream that ran in a batch of `streams`. */
    observeBetweenTokens(streams: number, milliseconds: number): void;
    /** To be called with each report: what was learned long ago counts less, so that an engine gets new chances. */
    decay(): void;
}

/** Used until an engine reports a rate, in tokens a second. */
const assumedPrefillRate = 5_000;
const assumedDecodeRate = 50;
const millisecondsPerSecond = 1_000;
/** One observation counts as at most this many times too slow or too fast. */
const sampleRatioLimit = 4;
/** First tokens that rest less than this on the request's own prefill say nothing of the engine's rate. */
const leastCertainty = 0.6;
/** Weight of the engine's own figures against learned ones, in observations. */
const priorWeight = 2;
/** Without evidence, a batch of this many streams is taken to slow prefill and decode so much. */
const priorBatch = 32;
const priorPrefillSlowdown = 1.5;
const priorDecodeSlowdown = 2;
/** What is left of the evidence after one report. */
const fadePerReport = 0.98;

/** Creates the estimate of one engine. */
export function createEngineRates(): EngineRates {
    let prefillPrior = millisecondsPerSecond / assumedPrefillRate;
    let decodePrior = millisecondsPerSecond / assumedDecodeRate;
    /** Milliseconds for a prompt token. */
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
        const limited = Math.min(sampleRatioLimit, Math.max(1 / sampleRatioLimit, ratio));
        prefill.add(streams, prefill.at(streams) * limited, weight);
    };

    return {
        setPrior,
        prefillPerMillisecond: streams => 1 / prefill.at(streams),
        betweenTokens: streams => decode.at(Math.max(1, streams)),
        observeFirstToken: (streams, predicted, actual, certainty) => {
            if (certainty >= leastCertainty) {
                observeRatio(streams, actual / Math.max(predicted, 1), certainty);
            }
        },
        observePrefill: (streams, tokensPerMillisecond) =>
            observeRatio(streams, 1 / tokensPerMillisecond / prefill.at(streams), 1),
        observeBetweenTokens: (streams, milliseconds) => decode.add(Math.max(1, streams), milliseconds, 1),
        decay: () => {
            prefill.decay(fadePerReport);
            decode.decay(fadePerReport);
        },
    };
}

function createPrior(single: number, slowdown: number): LinePrior {
    return { points: [[1, single], [priorBatch, single * slowdown]], weight: priorWeight };
}

import type { Clock } from "daisyturn-utils";

/** Estimates how long the mix of prefill and decode work remains about the same. */
export interface MixDurationEstimate {
    /** Records the present share of prefill in all work, from 0 to 1. Must be called at a steady interval. */
    record(prefillShare: number): void;
    /** Expected remaining duration of the present mix in milliseconds. */
    expectedRemaining(): number;
}

/** Settings of {@link createMixDurationEstimate}. */
export interface MixDurationEstimateOptions {
    readonly clock: Clock;
    /** Expected duration of a mix before any has ended. */
    readonly priorMilliseconds: number;
}

/** A share that differs by more than this from the mean of the present mix belongs to another mix. */
const maxShareDeviation = 0.15;
/** Consecutive shares that must deviate until a new mix is assumed, because a single one may be chance. */
const minDeviatingShares = 2;
/** Weight of one mix in the moving average of durations. */
const durationGain = 0.4;
const meanGain = 0.2;
/** Least expected remaining duration, as a fraction of the expected duration, because the end is not known exactly. */
const minRemainingFraction = 0.25;
/** A mix that exceeds its expected duration is expected to last for this fraction of its duration so far. */
const overrunFraction = 0.5;

/** Creates the estimate. The first mix starts with the first recorded share. */
export function createMixDurationEstimate(
    { clock, priorMilliseconds }: MixDurationEstimateOptions,
): MixDurationEstimate {
    let meanDuration = priorMilliseconds;
    let mixStartedAt = clock.monotonicNow();
    let mixMean: number | undefined;
    let deviatingShares = 0;

    const startMix = (prefillShare: number) => {
        const now = clock.monotonicNow();
        meanDuration += (now - mixStartedAt - meanDuration) * durationGain;
        mixStartedAt = now;
        mixMean = prefillShare;
        deviatingShares = 0;
    };

    const record = (prefillShare: number) => {
        if (mixMean === undefined) {
            mixStartedAt = clock.monotonicNow();
            mixMean = prefillShare;
            return;
        }
        if (Math.abs(prefillShare - mixMean) <= maxShareDeviation) {
            deviatingShares = 0;
            mixMean += (prefillShare - mixMean) * meanGain;
            return;
        }
        deviatingShares += 1;
        if (deviatingShares >= minDeviatingShares) {
            startMix(prefillShare);
        }
    };

    const expectedRemaining = () => {
        const elapsed = clock.monotonicNow() - mixStartedAt;
        return Math.max(meanDuration - elapsed, meanDuration * minRemainingFraction, elapsed * overrunFraction);
    };

    return { record, expectedRemaining };
}

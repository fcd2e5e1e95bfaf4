import type { Clock } from "daisyturn-utils";

/** Learns how long the mix of prefill and decode work stays much the same. */
export interface MixDurationEstimate {
    /** Takes the present share of prefill in all work, from 0 to 1. To be called at a steady interval. */
    note(prefillShare: number): void;
    /** Milliseconds for which the present mix is expected to go on. */
    expectedRemaining(): number;
}

/** Settings of {@link createMixDurationEstimate}. */
export interface MixDurationEstimateOptions {
    readonly clock: Clock;
    /** Expected length of a mix before any has ended. */
    readonly priorMilliseconds: number;
}

/** A share that lies further than this from the mean of the run belongs to another mix. */
const band = 0.15;
/** Shares in a row that must lie outside before the mix counts as another: one may be chance. */
const outsideNeeded = 2;
/** How much the length of one run moves the expectation. */
const lengthGain = 0.4;
const meanGain = 0.2;
/** Never expected to end sooner than this part of the expected length: when it ends is not known exactly. */
const leastRemainingPart = 0.25;
/** A run that outlasts the expectation is expected to go on for this part of its length so far. */
const outlastingPart = 0.5;

/** Creates the estimate; a run begins with the first share noted. */
export function createMixDurationEstimate(
    { clock, priorMilliseconds }: MixDurationEstimateOptions,
): MixDurationEstimate {
    let expectedLength = priorMilliseconds;
    let runStartedAt = clock.monotonicNow();
    let runMean: number | undefined;
    let outside = 0;

    const beginRun = (prefillShare: number) => {
        const now = clock.monotonicNow();
        expectedLength += (now - runStartedAt - expectedLength) * lengthGain;
        runStartedAt = now;
        runMean = prefillShare;
        outside = 0;
    };

    const note = (prefillShare: number) => {
        if (runMean === undefined) {
            runStartedAt = clock.monotonicNow();
            runMean = prefillShare;
            return;
        }
        if (Math.abs(prefillShare - runMean) <= band) {
            outside = 0;
            runMean += (prefillShare - runMean) * meanGain;
            return;
        }
        outside += 1;
        if (outside >= outsideNeeded) {
            beginRun(prefillShare);
        }
    };

    const expectedRemaining = () => {
        const elapsed = clock.monotonicNow() - runStartedAt;
        return Math.max(expectedLength - elapsed, expectedLength * leastRemainingPart, elapsed * outlastingPart);
    };

    return { note, expectedRemaining };
}

import { type SampledWork, sumWork } from "./forecastNeeds.js";

/** Samples of the work of one service over the last seconds. Times are monotonic milliseconds. */
export interface DemandWindow {
    /** Adds a sample; undefined if the work is not known, which discards what was measured. */
    record(work: SampledWork | undefined, now: number): void;
    /** The mean work over the last `milliseconds`; undefined without a sample. */
    mean(milliseconds: number, now: number): SampledWork | undefined;
    /** Whether the work was known, with traffic, for long enough to give engines back. */
    isMeasured(now: number): boolean;
}

/** Spans a whole swing of the mix, so that swings of 3 to 10 s hardly change the mean. */
export const demandWindowMilliseconds = 10_000;
/** Shows a lasting rise earlier. A swing of 3 s averages out in part. */
export const recentWindowMilliseconds = 2_500;
/** A decision to give engines back needs this much measured traffic; it spans a swing of 3 s. */
export const measuredMilliseconds = 4_000;
/** In the first second of traffic, the correction of the decaying rate is too inaccurate. */
const ignoredMilliseconds = 1_000;
/** Work below this is that of a fleet without traffic, in engines. */
const minWork = 0.01;

/** @param rateDecay time constant of the decaying rate in which prefill work is measured, in milliseconds */
export function createDemandWindow(rateDecay: number): DemandWindow {
    let samples: { readonly at: number; readonly work: SampledWork; }[] = [];
    /** Monotonic time of the first sample with traffic since the work was last unknown. */
    let since: number | undefined;

    return {
        record: (work, now) => {
            if (!work || sumWork(work) < minWork) {
                since = undefined;
                samples = [];
                return;
            }
            since ??= now;
            if (now - since < ignoredMilliseconds) {
                return;
            }
            // A decaying rate approaches the true one from zero after the first traffic.
            const risen = 1 - Math.exp((since - now) / rateDecay);
            const { prefill, firstReads, decode } = work;
            samples.push({ at: now, work: { prefill: prefill / risen, firstReads: firstReads / risen, decode } });
            samples = samples.filter(sample => sample.at > now - demandWindowMilliseconds);
        },
        mean: (milliseconds, now) => {
            const used = samples.filter(sample => sample.at > now - milliseconds);
            const average = (amount: (work: SampledWork) => number) =>
                used.reduce((sum, { work }) => sum + amount(work), 0) / used.length;
            return used.length === 0 ? undefined : {
                prefill: average(({ prefill }) => prefill),
                firstReads: average(({ firstReads }) => firstReads),
                decode: average(({ decode }) => decode),
            };
        },
        isMeasured: now => since !== undefined && now - since >= measuredMilliseconds,
    };
}

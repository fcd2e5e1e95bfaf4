import { maxDurationFactor } from "./reportedDuration.js";

/** Durations of calls at one target, without the time that they waited there. */
export interface DurationSample {
    readonly calls: number;
    /** Mean milliseconds of work. */
    readonly mean: number;
    /** Mean milliseconds of work divided by the figure that the target reported at its end. */
    readonly usualMean: number;
}

/** The durations that were measured at one target. Old ones lose their weight. */
export interface MeasuredDuration {
    record(sample: DurationSample, time: number): void;
    /** Number of calls that the mean stands for at a monotonic time. */
    weight(time: number): number;
    /** Mean milliseconds of work; undefined if nothing is known. */
    mean(): number | undefined;
    /** The same divided by the reported figures. */
    usualMean(): number | undefined;
    /** Mean of the last second relative to what was expected of the target, close to 1 after few calls. */
    recentFactor(time: number): number;
    /** Variance of the recorded durations relative to the square of their mean. */
    relativeVariance(): number;
    /** Whether the durations contradict the figures, so that the mean without them forecasts better. */
    contradictsFigures(): boolean;
}

/** Measured durations lose their weight within about this time. */
const memoryMilliseconds = 20_000;
/** Time in which a target that has just become slow or fast is recognized by its durations. */
export const recentMilliseconds = 1_000;
/** Number of calls at the expected duration that the recent factor starts with. */
const recentPrior = 4;
/** Figures are believed until this many calls have ended. */
const minContradictingCalls = 8;
/** Weight of one call in the errors of the two forecasts. */
const errorWeight = 0.06;
/** The same in the variance, whose estimate needs more calls. */
const varianceWeight = 0.02;
/** One call adds at most this much to the relative variance, which is 1 for durations that are distributed exponentially. */
const maxVariance = 9;
/** The forecast with figures is dropped once its error is larger by this factor, and by this sum for equal calls. */
const contradictionFactor = 1.15;
const contradictionMargin = 0.05;

/** Creates the state of one target. */
export function createMeasuredDuration(): MeasuredDuration {
    let calls = 0;
    let sum = 0;
    let usualSum = 0;
    let recordedAt = 0;
    let recentCalls = 0;
    let recentSum = 0;
    let total = 0;
    let error = 0;
    let usualError = 0;
    let variance = 1;

    const age = (time: number, milliseconds: number) => Math.exp(-Math.max(0, time - recordedAt) / milliseconds);

    const compare = (sample: DurationSample, time: number) => {
        const expected = sum / calls;
        const usualExpected = usualSum / calls;
        const weight = 1 - (1 - errorWeight) ** sample.calls;
        error += (Math.abs(Math.log(sample.mean / expected)) - error) * weight;
        usualError += (Math.abs(Math.log(sample.usualMean / usualExpected)) - usualError) * weight;
        const squared = Math.min(maxVariance, (sample.mean / expected - 1) ** 2 * sample.calls);
        variance += (squared - variance) * (1 - (1 - varianceWeight) ** sample.calls);
        const isContradicted = contradicts();
        const ratio = isContradicted ? sample.mean / expected : sample.usualMean / usualExpected;
        recentCalls = recentCalls * age(time, recentMilliseconds) + sample.calls;
        recentSum = recentSum * age(time, recentMilliseconds)
            + sample.calls * Math.min(maxDurationFactor, Math.max(1 / maxDurationFactor, ratio));
    };

    const contradicts = () =>
        total >= minContradictingCalls && usualError > error * contradictionFactor + contradictionMargin;

    return {
        record: (sample, time) => {
            if (calls > 0) {
                compare(sample, time);
            }
            const kept = age(time, memoryMilliseconds);
            calls = calls * kept + sample.calls;
            sum = sum * kept + sample.calls * sample.mean;
            usualSum = usualSum * kept + sample.calls * sample.usualMean;
            total += sample.calls;
            recordedAt = Math.max(recordedAt, time);
        },
        weight: time => calls * age(time, memoryMilliseconds),
        mean: () => calls > 0 ? sum / calls : undefined,
        usualMean: () => calls > 0 ? usualSum / calls : undefined,
        recentFactor: time => {
            const kept = age(time, recentMilliseconds);
            return (recentSum * kept + recentPrior) / (recentCalls * kept + recentPrior);
        },
        relativeVariance: () => variance,
        contradictsFigures: contradicts,
    };
}

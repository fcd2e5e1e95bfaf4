import { findKnown, type KnownDuration, type TargetSpeed } from "./targetSpeed.js";

/** What the targets of one service have in common. */
export interface ServiceSpeed {
    /** Mean milliseconds of work of a call at a target with the usual figure; undefined while nothing is measured. */
    readonly duration: number | undefined;
    /** Mean calls at a slot. */
    readonly fill: number;
    /** Mean milliseconds since the targets' last reports. */
    readonly age: number;
    /** Mean calls of other processes under way. */
    readonly calls: number;
    /** Whether a target reports how long work takes there. */
    readonly hasFigures: boolean;
    /** Whether the measured durations of targets differ by more than chance explains. */
    readonly isMixed: boolean;
}

/** A reported figure counts as present for this time. */
const figureMilliseconds = 30_000;
/** Targets whose durations were measured less often are not compared. */
const minComparedCalls = 15;
/**
 * Targets differ clearly if the slowest takes this much longer than the fastest, and the logarithm of the ratio is this
 * many times its standard deviation. They differ until the slowest takes less than `minLastingRatio` longer.
 */
const minRatio = 1.3;
const minDeviations = 5;
const minLastingRatio = 1.15;

/** @param wasMixed the previous result for the service */
export function summarizeSpeeds(speeds: readonly TargetSpeed[], wasMixed: boolean, now: number): ServiceSpeed {
    const known = speeds.map(speed => findKnown(speed, now)).filter(found => found !== undefined);
    const weight = known.reduce((sum, found) => sum + Math.min(found.weight, minComparedCalls), 0);
    const weighted = known.reduce((sum, found) => sum + Math.min(found.weight, minComparedCalls) * found.usual, 0);
    const reporting = speeds.filter(({ occupancy }) => occupancy.last() !== undefined);
    const slots = reporting.reduce((sum, { target }) => sum + target.slots, 0);
    const calls = reporting.reduce((sum, { occupancy }) => sum + occupancy.usual(), 0);
    return {
        duration: weight > 0 ? weighted / weight : undefined,
        fill: slots > 0 ? calls / slots : 0,
        age: reporting.reduce((sum, { occupancy }) => sum + now - occupancy.last()!.reportedAt, 0)
            / Math.max(1, reporting.length),
        calls,
        hasFigures: speeds.some(({ reported }) =>
            now - (reported.last()?.reportedAt ?? -Infinity) < figureMilliseconds
        ),
        isMixed: differClearly(known, meanVariance(speeds), wasMixed),
    };
}

function meanVariance(speeds: readonly TargetSpeed[]): number {
    return speeds.reduce((sum, { measured }) => sum + measured.relativeVariance(), 0) / Math.max(1, speeds.length);
}

function differClearly(known: readonly KnownDuration[], variance: number, wasMixed: boolean): boolean {
    const compared = known.filter(({ weight }) => weight >= minComparedCalls);
    const slowest = compared.reduce<KnownDuration | undefined>(
        (best, found) => best && best.usual >= found.usual ? best : found,
        undefined,
    );
    const fastest = compared.reduce<KnownDuration | undefined>(
        (best, found) => best && best.usual <= found.usual ? best : found,
        undefined,
    );
    if (!slowest || !fastest || slowest === fastest) {
        return wasMixed && compared.length === 0;
    }
    const ratio = slowest.usual / fastest.usual;
    const deviation = Math.sqrt(variance * (1 / slowest.weight + 1 / fastest.weight));
    return ratio > Math.max(minRatio, Math.exp(minDeviations * deviation)) || (wasMixed && ratio > minLastingRatio);
}

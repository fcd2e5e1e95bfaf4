import type { ListedTarget } from "../../../ports/listedTarget.js";
import { createMeasuredDuration, type MeasuredDuration, recentMilliseconds } from "./measuredDuration.js";
import { createOccupancy, type Occupancy } from "./occupancy.js";
import { createReportedDuration, type ReportedDuration } from "./reportedDuration.js";
import type { SpeedEstimate } from "./speedEntries.js";

/** What one process knows of the speed of one target. */
export interface TargetSpeed {
    readonly target: ListedTarget;
    readonly reported: ReportedDuration;
    readonly measured: MeasuredDuration;
    readonly occupancy: Occupancy;
    /** The process's own calls in progress. */
    ownCalls: number;
    /** What was learned since the last load message. */
    unsent: UnsentSpeed;
    /** Estimates of coordinators, by their id, with the monotonic time of the receipt. */
    readonly relayed: Map<string, RelayedEstimate>;
}

/** Sums over the process's own measured calls, and whether the target has reported. */
export interface UnsentSpeed {
    readonly calls: number;
    readonly sum: number;
    readonly usualSum: number;
    readonly isReported: boolean;
}

export interface RelayedEstimate extends SpeedEstimate {
    readonly receivedAt: number;
}

/** Duration of a call that waits for nothing, in milliseconds, without the reported figure. */
export interface KnownDuration {
    /** Mean of the last seconds. */
    readonly usual: number;
    /** How long calls have taken in the last second relative to this. */
    readonly recent: number;
    /** Number of measured calls that it stands for. */
    readonly weight: number;
    /** Whether the reported figure is left out, because measured durations contradict it. */
    readonly isContradicted: boolean;
}

/** Estimates of coordinators lose their weight within about this time. */
const relayedMilliseconds = 3_000;

export function createTargetSpeed(target: ListedTarget): TargetSpeed {
    return {
        target,
        reported: createReportedDuration(),
        measured: createMeasuredDuration(),
        occupancy: createOccupancy(),
        ownCalls: 0,
        unsent: { calls: 0, sum: 0, usualSum: 0, isReported: false },
        relayed: new Map(),
    };
}

/** Joins what the process and the processes that report to it have measured; undefined if they have measured nothing. */
export function findMeasured({ measured }: TargetSpeed, now: number): KnownDuration | undefined {
    const isContradicted = measured.contradictsFigures();
    const mean = isContradicted ? measured.mean() : measured.usualMean();
    return mean === undefined
        ? undefined
        : { usual: mean, recent: measured.recentFactor(now), weight: measured.weight(now), isContradicted };
}

/** Joins the measured duration with the estimates of coordinators. */
export function findKnown(speed: TargetSpeed, now: number): KnownDuration | undefined {
    const measured = findMeasured(speed, now);
    const found = [...speed.relayed.values()].map(({ usual, recent, weight, figure, receivedAt }): KnownDuration => ({
        usual,
        recent: 1 + (recent - 1) * Math.exp((receivedAt - now) / recentMilliseconds),
        weight: weight * Math.exp((receivedAt - now) / relayedMilliseconds),
        isContradicted: figure === undefined && speed.reported.last() !== undefined,
    }));
    return joinKnown(measured ? [measured, ...found] : found);
}

function joinKnown(found: readonly KnownDuration[]): KnownDuration | undefined {
    const weight = found.reduce((sum, known) => sum + known.weight, 0);
    const mean = (value: (known: KnownDuration) => number) =>
        found.reduce((sum, known) => sum + known.weight * value(known), 0) / weight;
    return weight > 0
        ? {
            usual: mean(({ usual }) => usual),
            recent: mean(({ recent }) => recent),
            weight,
            isContradicted: mean(({ isContradicted }) => isContradicted ? 1 : 0) > 0.5,
        }
        : undefined;
}

/** Removes what can't be used any more, so that ended coordinators leave nothing behind. */
export function removeOldEstimates({ relayed }: TargetSpeed, now: number): void {
    relayed.forEach(({ receivedAt }, id) => now - receivedAt > relayedMilliseconds * 4 && relayed.delete(id));
}

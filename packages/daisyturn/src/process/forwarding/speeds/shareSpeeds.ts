import type { Clock } from "daisyturn-utils";
import type { ListedTarget } from "../../../ports/listedTarget.js";
import { clampFactor } from "./reportedDuration.js";
import type { SentReport, SpeedEstimate, SpeedSample } from "./speedEntries.js";
import { findKnown, findMeasured, removeOldEstimates, type TargetSpeed } from "./targetSpeed.js";

/** Exchanges what processes know of the speed of targets. */
export interface SpeedSharing {
    /** What this process itself has learned of targets since the last call, where speeds are used. */
    drainUnsent(): readonly SpeedSample[];
    /** Applies what a process of the group has learned. */
    recordSample(sample: SpeedSample): void;
    /** What this process knows of targets, where speeds are used. */
    listEstimates(): readonly SpeedEstimate[];
    /** The same without what other coordinators have sent. */
    listGroupEstimates(): readonly SpeedEstimate[];
    /** Applies what a coordinator knows. */
    recordEstimates(coordinatorId: string, estimates: readonly SpeedEstimate[]): void;
}

/** What {@link createSpeedSharing} needs. */
export interface SpeedSharingOptions {
    /** By target id. */
    readonly speeds: ReadonlyMap<string, TargetSpeed>;
    /** Finds what is known of a listed target; undefined if no such target is listed. */
    readonly find: (targetId: string) => TargetSpeed | undefined;
    readonly isUsed: (service: string) => boolean;
    readonly applyReport: (target: ListedTarget, report: Omit<SentReport, "targetId">) => void;
    readonly clock: Pick<Clock, "monotonicNow">;
}

/** Limits the size of a message, which goes to all processes of a group. The last reports are the most informative. */
const maxEstimates = 32;
/** Reports older than this are not sent. */
const maxAgeMilliseconds = 5_000;

export function createSpeedSharing(options: SpeedSharingOptions): SpeedSharing {
    const { speeds, find, isUsed, applyReport, clock } = options;

    const describeReport = ({ target, reported, occupancy }: TargetSpeed, now: number): SentReport => ({
        targetId: target.targetId,
        figure: reported.last()?.figure,
        calls: occupancy.last()?.calls,
        age: now - (occupancy.last()?.reportedAt ?? now),
    });

    const list = (isGroupOnly: boolean) => {
        const now = clock.monotonicNow();
        return [...speeds.values()]
            .filter(({ target }) => isUsed(target.service))
            .flatMap((speed): readonly SpeedEstimate[] => {
                const known = isGroupOnly ? findMeasured(speed, now) : findKnown(speed, now);
                const report = describeReport(speed, now);
                const isRecent = known !== undefined && known.weight >= 1 && report.age < maxAgeMilliseconds;
                const figure = known?.isContradicted ? undefined : report.figure;
                return isRecent ? [{ ...report, ...known, figure, usualFigure: speed.reported.usual() }] : [];
            })
            .sort((left, right) => left.age - right.age)
            .slice(0, maxEstimates);
    };

    return {
        drainUnsent: () => {
            const now = clock.monotonicNow();
            const samples: SpeedSample[] = [];
            for (const speed of speeds.values()) {
                const { calls, sum, usualSum, isReported } = speed.unsent;
                if ((isReported || calls > 0) && isUsed(speed.target.service)) {
                    const means = { mean: sum / Math.max(1, calls), usualMean: usualSum / Math.max(1, calls) };
                    samples.push({ ...describeReport(speed, now), measuredCalls: calls, ...means });
                }
                speed.unsent = { calls: 0, sum: 0, usualSum: 0, isReported: false };
            }
            return samples;
        },
        recordSample: ({ targetId, measuredCalls, mean, usualMean, ...report }) => {
            const speed = find(targetId);
            if (speed) {
                applyReport(speed.target, report);
                if (measuredCalls >= 1 && mean > 0 && usualMean > 0) {
                    speed.measured.record({ calls: measuredCalls, mean, usualMean }, clock.monotonicNow());
                }
            }
        },
        listEstimates: () => list(false),
        listGroupEstimates: () => list(true),
        recordEstimates: (coordinatorId, estimates) => {
            const receivedAt = clock.monotonicNow();
            for (const estimate of estimates) {
                const speed = find(estimate.targetId);
                if (speed && estimate.usual > 0 && estimate.weight > 0 && estimate.usualFigure > 0) {
                    applyReport(speed.target, estimate);
                    speed.reported.adoptUsual(clampFactor(estimate.usualFigure));
                    removeOldEstimates(speed, receivedAt);
                    speed.relayed.set(coordinatorId, { ...estimate, recent: clampFactor(estimate.recent), receivedAt });
                }
            }
        },
    };
}

import { type Clock, EventKind, type EventLog } from "daisyturn-utils";
import type { ReportedLoad } from "../../../ports/forwardedCall.js";
import type { ListedTarget } from "../../../ports/listedTarget.js";
import type { TargetList } from "../targets/createTargetList.js";
import { createSpeedNotices, type RelativeDuration } from "./createSpeedNotices.js";
import type { CallCountEstimate } from "./occupancy.js";
import { clampFactor, readRelativeDuration } from "./reportedDuration.js";
import { type ServiceSpeed, summarizeSpeeds } from "./serviceSpeed.js";
import { createSpeedSharing, type SpeedSharing } from "./shareSpeeds.js";
import type { SentReport } from "./speedEntries.js";
import { createTargetSpeed, findKnown, type TargetSpeed } from "./targetSpeed.js";

/** A plain call that this process runs at a target. */
export interface MeasuredRun {
    /** Records that the call is sent now, after it has waited for a connection. */
    start(): void;
    /** Ends the call. If it is measured, the time since its start is the duration of a successful answer. */
    end(isMeasured: boolean): void;
}

/** Estimates how fast targets are, from measured durations and from the targets' own reports. */
export interface TargetSpeeds extends SpeedSharing {
    beginRun(target: ListedTarget): MeasuredRun;
    recordReport(target: ListedTarget, load: ReportedLoad): void;
    /** Applies a report that another process has received. */
    applyReport(target: ListedTarget, report: Omit<SentReport, "targetId">): void;
    /** What the targets of a service have in common; at most some tens of milliseconds old. */
    service(service: string): ServiceSpeed;
    /** Whether calls of the service are placed by speed: targets report theirs, or differ clearly. */
    isUsed(service: string): boolean;
    /** Expected milliseconds of work of a call that begins now; undefined while nothing is measured at the service. */
    duration(target: ListedTarget): number | undefined;
    /** Calls that run or wait at the target. */
    calls(target: ListedTarget): CallCountEstimate;
    /** Milliseconds of work that other processes have probably sent to the service since its targets' last reports. */
    unknownWork(service: string): number;
    /** The listed targets whose expected duration differs most from the mean of their service, where speeds are used. */
    listNotable(): readonly RelativeDuration[];
    forget(targetId: string): void;
}

/** A summary of a service is used for this time, because it visits all targets and changes slowly. */
const summaryMilliseconds = 50;
/** The mean of the service counts as this many calls measured at each target. */
const priorCalls = 3;
/** The mean of a target's own reports gives way to that of the service once it has not reported for about this time. */
const usualValidityMilliseconds = 2_000;
/** Calls that other processes sent before this time do not matter any more: most have ended. */
const maxUnknownMilliseconds = 500;
/** Counts of calls in reports above this are taken for errors. */
const maxCalls = 1e6;

/** Creates the estimates of one process. */
export function createTargetSpeeds(
    targets: Pick<TargetList, "list" | "find">,
    clock: Pick<Clock, "monotonicNow">,
    eventLog: EventLog,
): TargetSpeeds {
    const speeds = new Map<string, TargetSpeed>();
    const summaries = new Map<string, ServiceSpeed & { readonly computedAt: number; }>();
    /** Targets whose invalid figure was logged. */
    const invalid = new Set<string>();

    const find = (target: ListedTarget) => {
        let speed = speeds.get(target.targetId);
        if (!speed) {
            speed = createTargetSpeed(target);
            speeds.set(target.targetId, speed);
        }
        return speed;
    };

    const service = (name: string): ServiceSpeed => {
        const now = clock.monotonicNow();
        const last = summaries.get(name);
        if (last?.duration !== undefined && now - last.computedAt < summaryMilliseconds) {
            return last;
        }
        const known = targets.list(name).map(({ targetId }) => speeds.get(targetId)).filter(speed =>
            speed !== undefined
        );
        const summary = { ...summarizeSpeeds(known, last?.isMixed ?? false, now), computedAt: now };
        summaries.set(name, summary);
        return summary;
    };

    const readFigure = ({ targetId }: ListedTarget, { relativeDuration }: ReportedLoad) => {
        const figure = readRelativeDuration(relativeDuration);
        if (figure === undefined && relativeDuration !== undefined && !invalid.has(targetId)) {
            invalid.add(targetId);
            eventLog.record(EventKind.Fault, {
                target: targetId,
                reason: "the answer states an invalid relative duration",
                figure: String(relativeDuration),
            });
        }
        return figure;
    };

    const applyReport = (target: ListedTarget, { figure, calls, age }: Omit<SentReport, "targetId">) => {
        const speed = find(target);
        const reportedAt = clock.monotonicNow() - age;
        const valid = readRelativeDuration(figure);
        if (valid !== undefined) {
            speed.reported.record(valid, reportedAt);
        }
        if (calls !== undefined && calls >= 0 && calls <= maxCalls) {
            speed.occupancy.record(Math.max(0, calls - speed.ownCalls), reportedAt);
        }
    };

    const recordReport = (target: ListedTarget, load: ReportedLoad) => {
        const speed = find(target);
        speed.unsent = { ...speed.unsent, isReported: true };
        applyReport(target, { figure: readFigure(target, load), calls: load.running + load.waiting, age: 0 });
        notices.checkLog(speed);
    };

    /**
     * A figure better than usual counts for its root only: other processes that have read it send their calls there, too,
     * and too many calls at a fast target cost more than too few.
     */
    const figureOf = ({ reported }: TargetSpeed, isContradicted: boolean) => {
        if (isContradicted || !reported.last()) {
            return 1;
        }
        const figure = clampFactor(reported.at(clock.monotonicNow()));
        const usual = reported.usual();
        return figure < usual ? Math.sqrt(figure * usual) : figure;
    };

    const duration = (target: ListedTarget): number | undefined => {
        const mean = service(target.service).duration;
        const speed = speeds.get(target.targetId);
        if (mean === undefined || !speed) {
            return mean;
        }
        const known = findKnown(speed, clock.monotonicNow());
        const weight = known?.weight ?? 0;
        const usual = (mean * priorCalls + (known?.usual ?? 0) * weight) / (priorCalls + weight);
        return usual * (known?.recent ?? 1) * figureOf(speed, known?.isContradicted ?? false);
    };

    const calls = (target: ListedTarget): CallCountEstimate => {
        const speed = speeds.get(target.targetId);
        const { fill, duration: meanDuration = 0 } = service(target.service);
        const usual = fill * target.slots;
        if (!speed) {
            return { calls: usual, deviation: Math.sqrt(usual) };
        }
        const last = speed.occupancy.last();
        const now = clock.monotonicNow();
        const known = last ? Math.exp((last.reportedAt - now) / usualValidityMilliseconds) : 0;
        const mean = usual + (speed.occupancy.usual() - usual) * known;
        // A queue outlasts the calls that run.
        const perSlot = Math.max(1, (last?.calls ?? 0) / Math.max(1, target.slots));
        const turnover = Math.max(1, (duration(target) ?? meanDuration) * perSlot);
        const { calls: count, deviation } = speed.occupancy.estimate(now, mean, turnover);
        return { calls: count + speed.ownCalls, deviation };
    };

    const beginRun = (target: ListedTarget): MeasuredRun => {
        const speed = find(target);
        let begunAt = clock.monotonicNow();
        const { calls: ahead } = calls(target);
        const slots = Math.max(1, target.slots);
        speed.ownCalls += 1;
        let isRunning = true;

        const measure = () => {
            const now = clock.monotonicNow();
            const report = speed.occupancy.last();
            const reported = report && report.reportedAt >= begunAt ? report.calls + speed.ownCalls : undefined;
            // The calls ahead at the begin are known only from old reports, so that the queue at the end stands for them.
            const excess = Math.max(0, (reported ?? ahead + 1) - slots);
            const work = (now - begunAt) / (1 + excess / slots);
            const figure = speed.reported.last() ? clampFactor(speed.reported.at(now)) : 1;
            if (work > 0) {
                speed.measured.record({ calls: 1, mean: work, usualMean: work / figure }, now);
                addUnsent(speed, work, work / figure);
            }
        };

        return {
            start: () => {
                begunAt = clock.monotonicNow();
            },
            end: isMeasured => {
                if (isRunning) {
                    isRunning = false;
                    if (isMeasured) {
                        measure();
                    }
                    speed.ownCalls -= 1;
                }
            },
        };
    };

    const isUsed = (name: string) => {
        const { hasFigures, isMixed, duration: mean } = service(name);
        return (hasFigures || isMixed) && mean !== undefined;
    };

    const notices = createSpeedNotices({ speeds, service, isUsed, duration, clock, eventLog });

    const findListed = (targetId: string) => {
        const target = targets.find(targetId);
        return target && find(target);
    };

    return {
        ...createSpeedSharing({ speeds, find: findListed, isUsed, applyReport, clock }),
        beginRun,
        recordReport,
        applyReport,
        service,
        isUsed,
        listNotable: notices.listNotable,
        duration,
        calls,
        unknownWork: name => {
            const { age, calls: others } = service(name);
            return others * Math.min(age, maxUnknownMilliseconds);
        },
        forget: targetId => {
            speeds.delete(targetId);
            invalid.delete(targetId);
            notices.forget(targetId);
            summaries.clear();
        },
    };
}

function addUnsent(speed: TargetSpeed, work: number, usualWork: number): void {
    const { calls, sum, usualSum } = speed.unsent;
    speed.unsent = { ...speed.unsent, calls: calls + 1, sum: sum + work, usualSum: usualSum + usualWork };
}

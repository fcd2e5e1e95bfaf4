import type { Clock, EventLog } from "daisyturn-utils";
import type { ListedTarget } from "../../../ports/listedTarget.js";
import { createSpeedLog } from "./createSpeedLog.js";
import type { ServiceSpeed } from "./serviceSpeed.js";
import { findKnown, type TargetSpeed } from "./targetSpeed.js";

/** Expected duration of a call at a target relative to the mean of its service. */
export interface RelativeDuration {
    readonly target: ListedTarget;
    readonly factor: number;
}

/** Log lines and metrics on the speeds of targets. */
export interface SpeedNotices {
    /** Logs that a target has become slow or has recovered. */
    checkLog(speed: TargetSpeed): void;
    /** The targets whose expected duration differs most from the mean of their service, where speeds are used. */
    listNotable(): readonly RelativeDuration[];
    forget(targetId: string): void;
}

/** What {@link createSpeedNotices} needs. */
export interface SpeedNoticesOptions {
    readonly service: (service: string) => ServiceSpeed;
    readonly isUsed: (service: string) => boolean;
    /** Expected milliseconds of work of a call that begins now. */
    readonly duration: (target: ListedTarget) => number | undefined;
    /** By target id. */
    readonly speeds: ReadonlyMap<string, TargetSpeed>;
    readonly clock: Pick<Clock, "monotonicNow">;
    readonly eventLog: EventLog;
}

/** Speeds of targets are logged once this many calls were measured there. */
const minLoggedCalls = 20;
/** Bounds the number of series in the metrics. */
const maxNotable = 20;

/** Creates the notices of one process. */
export function createSpeedNotices(options: SpeedNoticesOptions): SpeedNotices {
    const { speeds, service, isUsed, duration, clock, eventLog } = options;
    const speedLog = createSpeedLog(clock, eventLog);
    return {
        checkLog: speed => {
            const { target, reported } = speed;
            const { duration: mean } = service(target.service);
            const expected = duration(target);
            const known = findKnown(speed, clock.monotonicNow());
            if (isUsed(target.service) && mean !== undefined && expected !== undefined && known) {
                const own = known.usual * (known.isContradicted ? 1 : reported.usual());
                const isCompared = known.weight >= minLoggedCalls;
                speedLog.check(target.targetId, isCompared ? own / mean : undefined, isCompared ? expected / own : 1);
            }
        },
        listNotable: () =>
            [...speeds.values()]
                .filter(({ target }) => isUsed(target.service))
                .map(({ target }): RelativeDuration => {
                    const { duration: mean = 1 } = service(target.service);
                    return { target, factor: (duration(target) ?? mean) / mean };
                })
                .sort((left, right) => Math.abs(Math.log(right.factor)) - Math.abs(Math.log(left.factor)))
                .slice(0, maxNotable),
        forget: speedLog.forget,
    };
}

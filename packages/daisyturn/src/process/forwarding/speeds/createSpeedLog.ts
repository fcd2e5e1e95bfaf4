import { type Clock, EventKind, type EventLog } from "daisyturn-utils";

/** How fast a target works compared with other targets and with itself. */
export enum SpeedState {
    Usual = "usual",
    /** Slower than its own mean at the moment. */
    SlowNow = "slow_now",
    /** Slower in the mean than the service's other targets. */
    SlowPermanently = "slow_permanently",
}

/** Logs that targets have become slow or have recovered. */
export interface SpeedLog {
    /**
     * @param usual mean duration at the target relative to the service's; undefined while too few calls were measured
     * @param momentary expected duration at the moment relative to this mean
     */
    check(targetId: string, usual: number | undefined, momentary: number): void;
    forget(targetId: string): void;
}

const minSlowNow = 2;
const maxRecoveredNow = 1.3;
const minSlowPermanently = 1.4;
const maxRecoveredPermanently = 1.2;
/** A target that changes more often is logged once in this time; what it was in between is in the metrics. */
const pauseMilliseconds = 10_000;

/** Creates the log of one process. */
export function createSpeedLog(clock: Pick<Clock, "monotonicNow">, eventLog: EventLog): SpeedLog {
    const logged = new Map<string, { readonly state: SpeedState; readonly at: number; }>();

    const determine = (last: SpeedState, usual: number, momentary: number) => {
        if (momentary > (last === SpeedState.SlowNow ? maxRecoveredNow : minSlowNow)) {
            return SpeedState.SlowNow;
        }
        return usual > (last === SpeedState.SlowPermanently ? maxRecoveredPermanently : minSlowPermanently)
            ? SpeedState.SlowPermanently
            : SpeedState.Usual;
    };

    return {
        check: (targetId, usual = 1, momentary) => {
            const now = clock.monotonicNow();
            const { state: last, at } = logged.get(targetId) ?? { state: SpeedState.Usual, at: -Infinity };
            const state = determine(last, usual, momentary);
            if (state !== last && now - at >= pauseMilliseconds) {
                logged.set(targetId, { state, at: now });
                eventLog.record(EventKind.TargetSpeedChanged, {
                    target: targetId,
                    state,
                    usual: Math.round(usual * 100) / 100,
                    momentary: Math.round(momentary * 100) / 100,
                });
            }
        },
        forget: targetId => logged.delete(targetId),
    };
}

import { type Clock, EventKind, type EventLog } from "daisyturn-utils";
import { EngineStage } from "../../../ports/listedTarget.js";

/** Why no engine of a service decodes yet, as the planning process sees it. */
export enum StageDelay {
    /** No rule plans a change. */
    NotPlanned = "not_planned",
    /** The change is planned once it has been needed for some time. */
    Unconfirmed = "unconfirmed",
    /** This process does not hold the lease under which orders are sent. */
    AwaitsLease = "awaits_lease",
    /** An engine is changing, or none may change. */
    Changing = "changing",
}

/** Logs for how long a service has engines of which none decodes, and what its next order waits for. */
export interface MissingStageLog {
    /** Logs the delay if it is new. */
    recordMissing(service: string, engines: number, delay: StageDelay): void;
    recordPresent(service: string): void;
}

interface MissingStage {
    /** Monotonic time. */
    readonly since: number;
    readonly delay: StageDelay;
}

export function createMissingStageLog(clock: Clock, eventLog: EventLog): MissingStageLog {
    const missing = new Map<string, MissingStage>();

    return {
        recordMissing: (service, engines, delay) => {
            const known = missing.get(service);
            if (known?.delay === delay) {
                return;
            }
            const since = known?.since ?? clock.monotonicNow();
            missing.set(service, { since, delay });
            eventLog.record(EventKind.StageMissing, {
                service,
                stage: EngineStage.Decode,
                engines,
                reason: delay,
                lasting: Math.round(clock.monotonicNow() - since),
            });
        },
        recordPresent: service => {
            const known = missing.get(service);
            if (known && missing.delete(service)) {
                const lasting = Math.round(clock.monotonicNow() - known.since);
                eventLog.record(EventKind.StageRestored, { service, stage: EngineStage.Decode, lasting });
            }
        },
    };
}

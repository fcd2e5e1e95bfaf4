import { type Clock, EventKind, type EventLog } from "daisyturn-utils";
import { EngineActivity } from "../../../ports/engineOrders.js";

/** Detects targets that have stopped working on the calls that wait for them. */
export interface SilenceDetector {
    /** Records that bytes of an answer were received. */
    recordBytesReceived(targetId: string): void;
    /**
     * Records a call that waits for its answer. The wait must be ended once the answer begins or the call ends.
     * @param isEngine whether the target's activity can be queried; other targets count as silent by time alone
     */
    beginWait(targetId: string, isEngine: boolean): { end(): void; };
    /**
     * Queries the target's activity if calls have waited long and nothing was received; at most one query at a time.
     */
    check(targetId: string): void;
    /** Whether calls have waited long while nothing was received from the target and it is not known to be working. */
    isSilent(targetId: string): boolean;
    forget(targetId: string): void;
}

/** Queries the activity of an engine. */
export type ActivityQuery = (targetId: string) => Promise<EngineActivity>;

interface WaitState {
    /** Monotonic time at which bytes were last received or the target was last confirmed to be working. */
    lastActivityAt: number;
    isEngine: boolean;
    readonly waits: Set<{ readonly since: number; }>;
    isChecking: boolean;
    /** Checks that failed since `lastActivityAt`. */
    failedChecks: number;
}

/** Longer than calls wait in the queue of a working target, as far as they are still worth waiting for. */
const silenceMilliseconds = 2_000;
/** Activity is queried early enough that two queries can time out before the target counts as silent. */
const checkAfterMilliseconds = 1_400;
/** More than one, because a single lost packet can fail a check. */
const failedChecksForSilence = 2;

/**
 * Creates the detector of one process. A prompt is answered only after its prefill, so an engine that prefills long
 * prompts sends nothing for seconds. Engines therefore count as silent only if they do not confirm that they are
 * working.
 */
export function createSilenceDetector(
    clock: Clock,
    eventLog: EventLog,
    queryActivity: ActivityQuery,
): SilenceDetector {
    const states = new Map<string, WaitState>();

    const find = (targetId: string): WaitState => {
        let state = states.get(targetId);
        if (!state) {
            state = {
                lastActivityAt: clock.monotonicNow(),
                isEngine: false,
                waits: new Set(),
                isChecking: false,
                failedChecks: 0,
            };
            states.set(targetId, state);
        }
        return state;
    };

    const recordBytesReceived = (targetId: string) => {
        const state = find(targetId);
        state.lastActivityAt = clock.monotonicNow();
        state.failedChecks = 0;
    };

    /** Whether a call has waited, and nothing was received, for longer than the given time. */
    const hasWaitedInSilence = (state: WaitState | undefined, milliseconds: number) => {
        const oldest = state?.waits.values().next().value;
        const limit = clock.monotonicNow() - milliseconds;
        return state !== undefined && oldest !== undefined && oldest.since < limit && state.lastActivityAt < limit;
    };

    const checkActivity = async (targetId: string, state: WaitState) => {
        state.isChecking = true;
        const checkStartedAt = clock.monotonicNow();
        const activity = await queryActivity(targetId);
        state.isChecking = false;
        if (activity === EngineActivity.Working) {
            recordBytesReceived(targetId);
        }
        else if (state.lastActivityAt <= checkStartedAt) {
            state.failedChecks += 1;
        }
        eventLog.record(EventKind.TargetChecked, { target: targetId, activity, failures: state.failedChecks });
    };

    return {
        recordBytesReceived,
        beginWait: (targetId, isEngine) => {
            const state = find(targetId);
            const { waits } = state;
            state.isEngine = isEngine;
            const wait = { since: clock.monotonicNow() };
            waits.add(wait);
            return { end: () => void waits.delete(wait) };
        },
        check: targetId => {
            const state = states.get(targetId);
            if (state?.isEngine && !state.isChecking && hasWaitedInSilence(state, checkAfterMilliseconds)) {
                void checkActivity(targetId, state);
            }
        },
        isSilent: targetId => {
            const state = states.get(targetId);
            const isUnconfirmed = state?.isEngine && state.failedChecks < failedChecksForSilence;
            return hasWaitedInSilence(state, silenceMilliseconds) && !isUnconfirmed;
        },
        forget: targetId => states.delete(targetId),
    };
}

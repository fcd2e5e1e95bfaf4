import { type Clock, EventKind, type EventLog } from "daisyturn-utils";
import { EngineActivity } from "../../../ports/engineOrders.js";

/** Detects targets that have stopped working on the calls that wait for them. */
export interface SilenceDetector {
    /** Notes that bytes of an answer arrived. */
    recordBytesReceived(targetId: string): void;
    /**
     * Notes a call that waits for its answer; to be ended once the answer begins or the call is over.
     * @param isEngine whether the target can be asked for its activity; others count as silent by time alone
     */
    beginWait(targetId: string, isEngine: boolean): { end(): void; };
    /** Asks the target for its activity if calls have waited for long and nothing was heard; at most one question at a time. */
    check(targetId: string): void;
    /** Whether calls have waited for long while nothing was heard of the target, and it is not known to be working. */
    isSilent(targetId: string): boolean;
    forget(targetId: string): void;
}

/** Asks an engine for its activity. */
export type ActivityQuestion = (targetId: string) => Promise<EngineActivity>;

interface WaitState {
    /** Monotonic time at which the target was last heard or known to be working. */
    heardAt: number;
    isEngine: boolean;
    readonly waits: Set<{ readonly since: number; }>;
    isChecking: boolean;
    /** Checks that failed since the target was last heard. */
    failedChecks: number;
}

/** Longer than the queue of a target that works, as far as calls are still worth waiting for. */
const silenceMilliseconds = 2_000;
/** A target that can tell its activity is asked early enough for two answers to time out before it counts as silent. */
const checkAfterMilliseconds = 1_400;
/** More than one, because a single lost packet can fail a check. */
const failedChecksForSilence = 2;

/**
 * Creates the detector of one process. A prompt is answered only once it has been read, so an engine that reads long
 * prompts sends nothing for seconds; targets that can be asked count as silent only if they do not confirm that they work.
 */
export function createSilenceDetector(
    clock: Clock,
    eventLog: EventLog,
    askActivity: ActivityQuestion,
): SilenceDetector {
    const states = new Map<string, WaitState>();

    const find = (targetId: string): WaitState => {
        let state = states.get(targetId);
        if (!state) {
            state = {
                heardAt: clock.monotonicNow(),
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
        state.heardAt = clock.monotonicNow();
        state.failedChecks = 0;
    };

    /** Whether a call has waited, and nothing was heard, for so long. */
    const isQuiet = (state: WaitState | undefined, milliseconds: number) => {
        const oldest = state?.waits.values().next().value;
        const limit = clock.monotonicNow() - milliseconds;
        return state !== undefined && oldest !== undefined && oldest.since < limit && state.heardAt < limit;
    };

    const ask = async (targetId: string, state: WaitState) => {
        state.isChecking = true;
        const askedAt = clock.monotonicNow();
        const activity = await askActivity(targetId);
        state.isChecking = false;
        if (activity === EngineActivity.Working) {
            recordBytesReceived(targetId);
        }
        else if (state.heardAt <= askedAt) {
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
            if (state?.isEngine && !state.isChecking && isQuiet(state, checkAfterMilliseconds)) {
                void ask(targetId, state);
            }
        },
        isSilent: targetId => {
            const state = states.get(targetId);
            const isUnconfirmed = state?.isEngine && state.failedChecks < failedChecksForSilence;
            return isQuiet(state, silenceMilliseconds) && !isUnconfirmed;
        },
        forget: targetId => states.delete(targetId),
    };
}

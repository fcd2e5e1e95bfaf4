import { type Clock, EventKind, type EventLog } from "daisyturn-utils";
import type { EngineOrders } from "../../../ports/engineOrders.js";
import type { ListedTarget } from "../../../ports/listedTarget.js";
import type { TargetList } from "../targets/createTargetList.js";

/** Detects engines that are still listed but no longer respond. */
export interface LostEngines {
    /** Starts a status read for each engine, except where one is running or has just ended. */
    check(engines: readonly ListedTarget[]): void;
    /** Whether the latest status read of the engine failed. */
    isSuspected(targetId: string): boolean;
    /** Whether enough consecutive status reads have failed to treat the engine as lost. */
    isLost(targetId: string): boolean;
}

/** What {@link createLostEngines} needs. */
export interface LostEnginesOptions {
    readonly targets: Pick<TargetList, "onRemoved">;
    readonly orders: Pick<EngineOrders, "readStatus">;
    readonly clock: Clock;
    readonly eventLog: EventLog;
}

interface StatusReads {
    consecutiveFailures: number;
    isReading: boolean;
    /** Monotonic time at which the last status check ended. */
    checkedAt: number;
}

/** More than one, because a single lost packet can fail a read. */
const failuresUntilLost = 2;
const readTimeoutMilliseconds = 500;
/** Minimum time between the end of one status check of an engine and the start of the next. */
const checkIntervalMilliseconds = 1_000;
/** Results expire, because a process that is not the planner does not refresh them. */
const resultLifetimeMilliseconds = 3_000;

/** Creates a detector whose results are local to this process. */
export function createLostEngines({ targets, orders, clock, eventLog }: LostEnginesOptions): LostEngines {
    const reads = new Map<string, StatusReads>();
    targets.onRemoved(targetId => reads.delete(targetId));

    const read = async (engine: ListedTarget, state: StatusReads) => {
        state.isReading = true;
        do {
            const status = await orders.readStatus(engine, clock.monotonicNow() + readTimeoutMilliseconds);
            const hasAnswered = status.isOk && status.value.targetId === engine.targetId;
            state.consecutiveFailures = hasAnswered ? 0 : state.consecutiveFailures + 1;
        }
        while (state.consecutiveFailures > 0 && state.consecutiveFailures < failuresUntilLost);
        state.isReading = false;
        state.checkedAt = clock.monotonicNow();
        if (state.consecutiveFailures === failuresUntilLost) {
            eventLog.record(EventKind.EngineLost, { target: engine.targetId, stage: engine.stage });
        }
    };

    const countConsecutiveFailures = (targetId: string) => {
        const state = reads.get(targetId);
        const isFresh = state
            && (state.isReading || state.checkedAt + resultLifetimeMilliseconds > clock.monotonicNow());
        return isFresh ? state.consecutiveFailures : 0;
    };

    return {
        check: engines => {
            for (const engine of engines) {
                const state = reads.get(engine.targetId)
                    ?? { consecutiveFailures: 0, isReading: false, checkedAt: -Infinity };
                reads.set(engine.targetId, state);
                if (!state.isReading && state.checkedAt + checkIntervalMilliseconds <= clock.monotonicNow()) {
                    void read(engine, state);
                }
            }
        },
        isSuspected: targetId => countConsecutiveFailures(targetId) > 0,
        isLost: targetId => countConsecutiveFailures(targetId) >= failuresUntilLost,
    };
}

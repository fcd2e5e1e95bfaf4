import type { Clock } from "daisyturn-utils";
import type { EngineHealth } from "../health/index.js";
import { type PendingPlacement, ratioFloorMilliseconds } from "./createPlacement.js";

/** Watches for first tokens that are overdue: an engine that hangs gives no response that could be evaluated. */
export interface OverdueWatch {
    watch(placement: PendingPlacement): void;
    forget(placement: PendingPlacement): void;
    /** Checks all pending placements if the check interval has elapsed. */
    checkIfDue(): void;
}

const checkIntervalMilliseconds = 100;

/** Creates a watch that records overdue first tokens in the engines' health. */
export function createOverdueWatch(clock: Clock, health: EngineHealth): OverdueWatch {
    const pending = new Set<PendingPlacement>();
    let checkedAt = -Infinity;

    /** Records at 4, 8, 16 ... times the expected time, so that eventually a single hanging request is sufficient. */
    const recordIfOverdue = (placement: PendingPlacement, now: number) => {
        const expected = placement.expectedAt - placement.placedAt + ratioFloorMilliseconds;
        const factor = (now - placement.placedAt) / expected;
        if (factor >= placement.nextOverdueFactor) {
            placement.nextOverdueFactor *= 2;
            placement.engines.forEach(engineId => health.recordFirstTokenRatio(engineId, factor));
        }
    };

    return {
        watch: placement => pending.add(placement),
        forget: placement => pending.delete(placement),
        checkIfDue: () => {
            const now = clock.monotonicNow();
            if (now - checkedAt >= checkIntervalMilliseconds) {
                checkedAt = now;
                pending.forEach(placement => recordIfOverdue(placement, now));
            }
        },
    };
}

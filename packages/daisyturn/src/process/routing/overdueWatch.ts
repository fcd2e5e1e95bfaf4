import type { Clock } from "daisyturn-utils";
import type { EngineHealth } from "../health/index.js";
import { type PendingPlacement, ratioFloorMilliseconds } from "./createPlacement.js";

/** Looks for first tokens that don't come: an engine that hangs never reports anything that could be judged. */
export interface OverdueWatch {
    watch(placement: PendingPlacement): void;
    forget(placement: PendingPlacement): void;
    /** Looks, if enough time has gone by since the last look. */
    look(): void;
}

const lookIntervalMilliseconds = 100;

/** Creates a watch that counts delays against the engines. */
export function createOverdueWatch(clock: Clock, health: EngineHealth): OverdueWatch {
    const pending = new Set<PendingPlacement>();
    let lookedAt = -Infinity;

    /** Counts at 4, 8, 16 ... times the expected time, so that one hanging request alone is enough in the end. */
    const judge = (placement: PendingPlacement, now: number) => {
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
        look: () => {
            const now = clock.monotonicNow();
            if (now - lookedAt >= lookIntervalMilliseconds) {
                lookedAt = now;
                pending.forEach(placement => judge(placement, now));
            }
        },
    };
}

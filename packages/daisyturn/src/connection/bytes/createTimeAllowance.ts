import type { Clock } from "daisyturn-utils";

/** Time of the event loop that one connection may take without waiting for turns. */
export interface TimeAllowance {
    isSpent(): boolean;
    /** @param milliseconds time that was taken */
    spend(milliseconds: number): void;
}

/** Enough for a body of the greatest size in large pieces. */
const burstMilliseconds = 20;
/** Fraction of the time that is granted anew. A connection with ordinary calls, one after another, takes less. */
const connectionShare = 0.05;

/** Creates the allowance of one connection. */
export function createTimeAllowance(clock: Pick<Clock, "monotonicNow">): TimeAllowance {
    let remaining = burstMilliseconds;
    let grantedAt = clock.monotonicNow();

    return {
        isSpent: () => {
            const now = clock.monotonicNow();
            remaining = Math.min(burstMilliseconds, remaining + (now - grantedAt) * connectionShare);
            grantedAt = now;
            return remaining <= 0;
        },
        spend: milliseconds => {
            remaining -= milliseconds;
        },
    };
}

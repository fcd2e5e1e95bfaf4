import type { Clock } from "daisyturn-utils";

/** Time of the event loop that one connection may take without waiting for turns. */
export interface TimeAllowance {
    isSpent(): boolean;
    /** @param milliseconds time that was taken */
    spend(milliseconds: number): void;
}

/** Enough for a body of the greatest size in large pieces. */
const defaultBurstMilliseconds = 20;
/** A connection with ordinary calls, one after another, takes less. */
const defaultShare = 0.05;

/**
 * Creates the allowance of one connection.
 * @param share fraction of the time that is granted anew
 */
export function createTimeAllowance(
    clock: Pick<Clock, "monotonicNow">,
    share = defaultShare,
    burstMilliseconds = defaultBurstMilliseconds,
): TimeAllowance {
    let remaining = burstMilliseconds;
    let grantedAt = clock.monotonicNow();

    return {
        isSpent: () => {
            const now = clock.monotonicNow();
            remaining = Math.min(burstMilliseconds, remaining + (now - grantedAt) * share);
            grantedAt = now;
            return remaining <= 0;
        },
        spend: milliseconds => {
            remaining -= milliseconds;
        },
    };
}

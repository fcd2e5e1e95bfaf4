import type { Clock } from "daisyturn-utils";

/** A token bucket: its capacity is the units of one second, and at least one unit. */
export interface RateLimit {
    /** Consumes the units if all of them are available; otherwise consumes none. */
    tryAcquire(units: number): boolean;
    /** Wall-clock time at which one unit is available. */
    nextUnitAt(): number;
}

const millisecondsPerSecond = 1_000;

/** Creates a rate limit; the rate may change between calls. */
export function createRateLimit(clock: Clock, unitsPerSecond: () => number): RateLimit {
    const maxUnits = () => Math.max(1, unitsPerSecond());
    let units = maxUnits();
    let refilledAt = clock.monotonicNow();

    const refill = () => {
        const now = clock.monotonicNow();
        const rate = unitsPerSecond();
        units = Math.min(maxUnits(), units + (now - refilledAt) * rate / millisecondsPerSecond);
        refilledAt = now;
    };

    return {
        tryAcquire: wanted => {
            refill();
            if (units < wanted) {
                return false;
            }
            units -= wanted;
            return true;
        },
        nextUnitAt: () => {
            refill();
            const missing = Math.max(0, 1 - units);
            return clock.wallNow() + missing * millisecondsPerSecond / Math.max(unitsPerSecond(), Number.MIN_VALUE);
        },
    };
}

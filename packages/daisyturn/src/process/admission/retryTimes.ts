import type { Clock } from "daisyturn-utils";

/**
 * Times at which refused requests are told to come again. They are spread: if all were told the same moment, all but
 * the first would be refused again.
 */
export interface RetryTimes {
    /**
     * Wall-clock time in milliseconds for a request that would fit `delay` milliseconds from now if nobody else had
     * been told to come again.
     */
    after(partner: string, delay: number, engineTime: number): number;
}

interface Promised {
    /** Engine time of the requests told to come again, in milliseconds, less what has had its time since. */
    engineTime: number;
    /** Monotonic time. */
    at: number;
}

const millisecondsPerSecond = 1_000;
/** No promise reaches further; by then everything may have changed. */
const furthestMilliseconds = 30_000;
const nearestMilliseconds = 50;

/** @param rateOf engine time a second that a partner is sure to get here */
export function createRetryTimes(clock: Clock, rateOf: (partner: string) => number): RetryTimes {
    const promised = new Map<string, Promised>();
    return {
        after: (partner, delay, engineTime) => {
            const now = clock.monotonicNow();
            const rate = Math.max(rateOf(partner), 1) / millisecondsPerSecond;
            const record = promised.get(partner) ?? { engineTime: 0, at: now };
            promised.set(partner, record);
            record.engineTime = Math.max(0, record.engineTime - (now - record.at) * rate);
            record.at = now;
            const wait = Math.min(
                furthestMilliseconds,
                Math.max(nearestMilliseconds, delay + record.engineTime / rate),
            );
            if (wait < furthestMilliseconds) {
                record.engineTime += engineTime;
            }
            return clock.wallNow() + wait;
        },
    };
}

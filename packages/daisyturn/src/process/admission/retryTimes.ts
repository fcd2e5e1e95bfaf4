import type { Clock } from "daisyturn-utils";

/**
 * Computes the retry times of refused requests. The times are spread: if all requests were retried at the same moment,
 * all but the first would be refused again.
 */
export interface RetryTimes {
    /**
     * Returns the wall-clock retry time, in milliseconds, for a request that would fit in `delay` milliseconds from now
     * if no other retries had been scheduled.
     */
    after(partner: string, delay: number, engineTime: number): number;
}

interface ScheduledRetries {
    /** Engine time in milliseconds of the scheduled retries, less the engine time that has passed since. */
    engineTime: number;
    /** Monotonic time. */
    at: number;
}

const millisecondsPerSecond = 1_000;
/** Upper limit of the delay, because the load may have changed completely by then. */
const maxDelayMilliseconds = 30_000;
const minDelayMilliseconds = 50;

/** @param rateOf engine time, in milliseconds per second, that a partner is expected to get in this process */
export function createRetryTimes(clock: Clock, rateOf: (partner: string) => number): RetryTimes {
    const scheduled = new Map<string, ScheduledRetries>();
    return {
        after: (partner, delay, engineTime) => {
            const now = clock.monotonicNow();
            const rate = Math.max(rateOf(partner), 1) / millisecondsPerSecond;
            const record = scheduled.get(partner) ?? { engineTime: 0, at: now };
            scheduled.set(partner, record);
            record.engineTime = Math.max(0, record.engineTime - (now - record.at) * rate);
            record.at = now;
            const wait = Math.min(
                maxDelayMilliseconds,
                Math.max(minDelayMilliseconds, delay + record.engineTime / rate),
            );
            if (wait < maxDelayMilliseconds) {
                record.engineTime += engineTime;
            }
            return clock.wallNow() + wait;
        },
    };
}

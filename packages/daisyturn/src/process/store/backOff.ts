import type { Clock, Random } from "daisyturn-utils";

/** Exponential back-off with jitter between the attempts of one call. */
export interface BackOff {
    /** Sleeps before the next attempt. Returns false immediately if the sleep would reach the deadline (monotonic). */
    wait(deadline: number): Promise<boolean>;
}

/** Bounds of the waits, in milliseconds. */
export interface BackOffOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly minMilliseconds: number;
    readonly maxMilliseconds: number;
}

/** Creates the back-off of one call. Each wait is at least half of its bound, so that no retry follows immediately. */
export function createBackOff(options: BackOffOptions): BackOff {
    const { clock, random } = options;
    let bound = options.minMilliseconds;
    return {
        wait: async deadline => {
            const wakeAt = clock.monotonicNow() + jitter(bound, random);
            bound = Math.min(options.maxMilliseconds, bound * 2);
            if (wakeAt >= deadline) {
                return false;
            }
            await clock.sleepUntil(wakeAt);
            return true;
        },
    };
}

/** A random duration between half of `milliseconds` and all of it. */
export function jitter(milliseconds: number, random: Random): number {
    return milliseconds * (0.5 + random.fraction() / 2);
}

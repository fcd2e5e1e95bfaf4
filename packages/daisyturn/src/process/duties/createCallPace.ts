import type { Clock } from "daisyturn-utils";

/** Limits the rate of calls, and pauses them after the platform has refused one because of its rate. */
export interface CallPace {
    /** Reserves the next call. @returns the monotonic time from which it may be made */
    reserve(): number;
    isPaused(): boolean;
    /** Records that the platform refused a call because of its rate; each pause is longer than the previous one. */
    recordThrottled(): void;
    recordAccepted(): void;
}

/** Part of the platform's rate that one holder uses, because two holders may follow each other within a second. */
const usedFraction = 0.5;
const millisecondsPerSecond = 1_000;
const firstPauseMilliseconds = 250;
const longestPauseMilliseconds = 8_000;

/** @param callsPerSecond what the platform accepts from all processes together */
export function createCallPace(clock: Clock, callsPerSecond: number): CallPace {
    const interval = millisecondsPerSecond / (callsPerSecond * usedFraction);
    let nextAt = -Infinity;
    let pausedUntil = -Infinity;
    let pauseMilliseconds = firstPauseMilliseconds;
    return {
        reserve: () => {
            const at = Math.max(nextAt, clock.monotonicNow());
            nextAt = at + interval;
            return at;
        },
        isPaused: () => clock.monotonicNow() < pausedUntil,
        recordThrottled: () => {
            pausedUntil = clock.monotonicNow() + pauseMilliseconds;
            pauseMilliseconds = Math.min(2 * pauseMilliseconds, longestPauseMilliseconds);
        },
        recordAccepted: () => {
            pauseMilliseconds = firstPauseMilliseconds;
        },
    };
}

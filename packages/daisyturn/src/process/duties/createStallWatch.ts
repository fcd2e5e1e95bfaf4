import type { Clock } from "daisyturn-utils";

/** Finds out when this process was last suspended or cut off. */
export interface StallWatch {
    /** Monotonic time at which the last suspension or cut was seen to last or to have ended; -Infinity if there was none. */
    lastStallAt(): number;
    /** Checks the clocks regularly until the signal is aborted. */
    run(signal: AbortSignal): Promise<void>;
}

/** What {@link createStallWatch} needs. */
export interface StallWatchOptions {
    readonly clock: Clock;
    /** Whether this process is cut off at the moment. */
    readonly isCutOff: () => boolean;
}

const checkIntervalMilliseconds = 100;
/** A gap between two checks that a busy event loop alone rarely causes. A false alarm costs about one renewal's time. */
const maxGapMilliseconds = 300;

/** Creates the watch of one process. A suspended process may have stopped its monotonic clock, so both clocks are compared. */
export function createStallWatch({ clock, isCutOff }: StallWatchOptions): StallWatch {
    let checkedAt = { monotonic: clock.monotonicNow(), wall: clock.wallNow() };
    let lastStallAt = -Infinity;
    let isRunning = false;

    const check = () => {
        const now = { monotonic: clock.monotonicNow(), wall: clock.wallNow() };
        const gap = Math.max(now.monotonic - checkedAt.monotonic, now.wall - checkedAt.wall);
        if (isCutOff() || (isRunning && gap > maxGapMilliseconds)) {
            lastStallAt = now.monotonic;
        }
        checkedAt = now;
    };

    return {
        lastStallAt: () => {
            check();
            return lastStallAt;
        },
        run: async signal => {
            checkedAt = { monotonic: clock.monotonicNow(), wall: clock.wallNow() };
            isRunning = true;
            while (!signal.aborted) {
                check();
                await clock.sleepUntil(clock.monotonicNow() + checkIntervalMilliseconds, signal);
            }
            isRunning = false;
        },
    };
}

import { Clock } from "daisyturn-utils";

/** Creates a clock that runs `rate` times as fast as `clock`. */
export function createDriftingClock(clock: Clock, rate: number): Clock {
    class DriftingClock extends Clock {
        override monotonicNow(): number {
            return clock.monotonicNow() * rate;
        }

        override wallNow(): number {
            return clock.wallNow() * rate;
        }

        override sleepUntil(deadline: number, signal?: AbortSignal): Promise<void> {
            // Rounded up, so that a sleep never ends slightly before its deadline and causes a busy loop.
            return clock.sleepUntil(Math.floor(deadline / rate) + 1, signal);
        }
    }
    return new DriftingClock();
}

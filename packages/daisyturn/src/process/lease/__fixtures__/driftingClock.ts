import { Clock } from "daisyturn-utils";

/** A clock that runs `rate` times as fast as another. */
export function createDriftingClock(clock: Clock, rate: number): Clock {
    class DriftingClock extends Clock {
        override monotonicNow(): number {
            return clock.monotonicNow() * rate;
        }

        override wallNow(): number {
            return clock.wallNow() * rate;
        }

        override sleepUntil(deadline: number, signal?: AbortSignal): Promise<void> {
            // Rounded up, so that a sleeper never wakes a little too early and spins.
            return clock.sleepUntil(Math.floor(deadline / rate) + 1, signal);
        }
    }
    return new DriftingClock();
}

import type { Clock } from "./clock.js";
import { createInterruption, type Interruption, onInterrupted, type WaitSignal } from "./interruption.js";

/** A reusable signal that tasks can wait for. */
export interface Signal {
    raise(): void;
    /** Resolves when the signal is raised, at the deadline on the monotonic clock, or when `signal` is aborted. */
    wait(clock: Clock, deadline: number, signal: WaitSignal): Promise<void>;
}

/** Creates a signal that has not been raised. */
export function createSignal(): Signal {
    let waiting = new Set<Interruption>();
    return {
        raise: () => {
            if (waiting.size > 0) {
                const woken = waiting;
                waiting = new Set();
                woken.forEach(({ interrupt }) => interrupt());
            }
        },
        wait: async (clock, deadline, signal) => {
            const raised = createInterruption();
            waiting.add(raised);
            const stopWaiting = onInterrupted(signal, raised.interrupt);
            await clock.sleepUntil(deadline, raised.signal);
            stopWaiting();
            waiting.delete(raised);
        },
    };
}

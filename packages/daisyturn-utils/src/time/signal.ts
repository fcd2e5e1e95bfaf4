import type { Clock } from "./clock.js";

/** A reusable signal that tasks can wait for. */
export interface Signal {
    raise(): void;
    /** Resolves when the signal is raised, at the deadline on the monotonic clock, or when `signal` is aborted. */
    wait(clock: Clock, deadline: number, signal: AbortSignal): Promise<void>;
}

/** Creates a signal that has not been raised. */
export function createSignal(): Signal {
    let waiting = new Set<AbortController>();
    return {
        raise: () => {
            const woken = waiting;
            waiting = new Set();
            woken.forEach(controller => controller.abort());
        },
        wait: async (clock, deadline, signal) => {
            const raised = new AbortController();
            const end = () => raised.abort();
            waiting.add(raised);
            signal.addEventListener("abort", end, { once: true });
            await clock.sleepUntil(deadline, raised.signal);
            signal.removeEventListener("abort", end);
            waiting.delete(raised);
        },
    };
}

import type { Clock } from "./clock.js";

/** Something that tasks wait for, and that may come about again and again. */
export interface Signal {
    raise(): void;
    /** Resolves once it is raised, at the deadline on the monotonic clock, or when the abort signal is. */
    wait(clock: Clock, deadline: number, signal: AbortSignal): Promise<void>;
}

/** Creates a signal that nobody has raised. */
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

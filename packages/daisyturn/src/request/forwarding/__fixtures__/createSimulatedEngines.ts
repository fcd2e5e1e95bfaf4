/** A prompt in the queue of a simulated engine. */
export interface QueuedPrompt {
    /** Whether all other prompts go first. */
    readonly isDeferred: boolean;
    /** Monotonic time at which its caller abandons the call. */
    readonly abandonedAt: number;
    /** Called once: when the prompt has been prefilled, or its caller has abandoned it. */
    readonly end: (isServed: boolean) => void;
    /** Milliseconds of prefill work that remain. */
    left: number;
}

/** Engines that prefill prompts one after the other, on a clock that the test advances. */
export interface SimulatedEngines {
    add(targetId: string, prompt: QueuedPrompt): void;
    /** Simulates the given milliseconds of work at each engine, up to the monotonic time `now`. */
    work(milliseconds: number, now: number): void;
}

/** Creates engines that prefill in order of arrival, with deferred prompts last. */
export function createSimulatedEngines(): SimulatedEngines {
    const queues = new Map<string, QueuedPrompt[]>();
    return {
        add: (targetId, prompt) => {
            queues.set(targetId, [...queues.get(targetId) ?? [], prompt]);
        },
        work: (milliseconds, now) => {
            queues.forEach((queue, targetId) => {
                const waiting = removeAbandoned(queue, now);
                prefill(waiting, milliseconds);
                queues.set(targetId, waiting.filter(({ left }) => left > 0));
            });
        },
    };
}

/** Ends the abandoned prompts and returns the others in the order in which they are prefilled. */
function removeAbandoned(queue: readonly QueuedPrompt[], now: number): QueuedPrompt[] {
    queue.filter(({ abandonedAt }) => abandonedAt <= now).forEach(({ end }) => end(false));
    return queue
        .filter(({ abandonedAt }) => abandonedAt > now)
        .sort((left, right) => Number(left.isDeferred) - Number(right.isDeferred));
}

function prefill(waiting: readonly QueuedPrompt[], milliseconds: number): void {
    let time = milliseconds;
    for (const prompt of waiting) {
        const done = Math.min(time, prompt.left);
        prompt.left -= done;
        time -= done;
        if (prompt.left <= 0) {
            prompt.end(true);
        }
    }
}

/** A prompt at an engine that is played. */
export interface QueuedPrompt {
    /** Whether it lets all others go first. */
    readonly isDeferred: boolean;
    /** Monotonic time at which its caller leaves. */
    readonly abandonedAt: number;
    /** Called once: when the prompt has been read, or its caller has left. */
    readonly end: (isServed: boolean) => void;
    /** Milliseconds of reading that are not done yet. */
    left: number;
}

/** Engines that read prompts one after the other, on a clock that the test moves. */
export interface SimulatedEngines {
    add(targetId: string, prompt: QueuedPrompt): void;
    /** Lets each engine work for so long, up to the monotonic time `now`. */
    work(milliseconds: number, now: number): void;
}

/** Creates engines that read in order of arrival, but for deferred prompts, which come last. */
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

/** Ends what nobody waits for any more; the others, in the order in which they are read. */
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

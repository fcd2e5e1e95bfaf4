import type { Clock } from "daisyturn-utils";

/**
 * Lets calls wait until this process has read what had arrived at its connections. Where a process falls behind, a request
 * and the close of its caller wait in the kernel together, and the request is read first.
 */
export interface ReadBarrier {
    /**
     * Whether all that had arrived by a monotonic time has been read, and not long ago. Calls that are released together
     * must check again right before they send, since those before them take the processor.
     */
    isPassed(arrivedAt: number): boolean;
    /** Resolves after the next read, which may have begun before. */
    nextRead(): Promise<void>;
}

/**
 * Time for which a read counts as recent: well below the half second after which nothing may reach a target for a caller
 * who has left, and longer than the turns of the event loop of a process that keeps up.
 */
const recentMilliseconds = 200;

/** Waits until all that has arrived by now has been read. */
export async function passReadBarrier(barrier: ReadBarrier, clock: Clock): Promise<void> {
    const arrivedAt = clock.monotonicNow();
    while (!barrier.isPassed(arrivedAt)) {
        await barrier.nextRead();
    }
}

/** Creates the barrier of one process. */
export function createReadBarrier(clock: Clock): ReadBarrier {
    let waiting: (() => void)[] = [];
    let isPolling = false;
    /** All that had arrived by this monotonic time has been read. */
    let readUntil = -Infinity;
    /** Monotonic time at which it had been read. */
    let readAt = -Infinity;

    /**
     * The event loop reads from all connections between two immediates, of which one is set by the other. A read that takes
     * long is repeated once: the process may have been paused after it had determined which connections to read.
     */
    const poll = (isRepeated: boolean) => {
        const startedAt = clock.monotonicNow();
        setImmediate(() => {
            const endedAt = clock.monotonicNow();
            if (endedAt - startedAt > recentMilliseconds && !isRepeated) {
                poll(true);
                return;
            }
            isPolling = false;
            readUntil = startedAt;
            readAt = endedAt;
            const released = waiting;
            waiting = [];
            released.forEach(release => release());
        });
    };

    return {
        isPassed: arrivedAt => readUntil >= arrivedAt && clock.monotonicNow() - readAt <= recentMilliseconds,
        nextRead: () =>
            new Promise<void>(resolve => {
                waiting.push(resolve);
                if (!isPolling) {
                    isPolling = true;
                    setImmediate(poll, false);
                }
            }),
    };
}

import type { Clock } from "daisyturn-utils";

/**
 * Waits for a promise that is never rejected, until the deadline.
 * @param deadline monotonic time
 * @returns whether the promise was resolved before the deadline
 */
export async function waitUntilResolved(promise: Promise<unknown>, clock: Clock, deadline: number): Promise<boolean> {
    const abort = new AbortController();
    const resolved = promise.then(() => true);
    const timedOut = clock.sleepUntil(deadline, abort.signal).then(() => false);
    const inTime = await Promise.race([resolved, timedOut]);
    abort.abort();
    return inTime;
}

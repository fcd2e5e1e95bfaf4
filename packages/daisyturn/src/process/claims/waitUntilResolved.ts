import type { Clock } from "daisyturn-utils";

/** Waits for a promise that is never rejected; tells whether it settled before the deadline (monotonic). */
export async function waitUntilResolved(promise: Promise<unknown>, clock: Clock, deadline: number): Promise<boolean> {
    const abort = new AbortController();
    const settled = promise.then(() => true);
    const passed = clock.sleepUntil(deadline, abort.signal).then(() => false);
    const inTime = await Promise.race([settled, passed]);
    abort.abort();
    return inTime;
}

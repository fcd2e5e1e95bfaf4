import type { Clock } from "daisyturn-utils";
import { createBuckets } from "./createBuckets.js";

/**
 * The repeats that this process may add to the requests for one service, in every sliding window.
 *
 * A window counts its own requests and those of the window before it, each for half of the ratio. Over all processes, that
 * is at most the ratio times the requests of the busier of the two windows, also while the load falls. After a steady time,
 * half of the ratio may be spent at once, and the whole ratio in every window.
 */
export interface RetryWindow {
    recordRequest(): void;
    /** Number of repeats that may be sent now. */
    available(): number;
    /** Number of repeats that may be sent until a monotonic time in the future. */
    availableUntil(at: number): number;
    /** Number of repeats that may be sent at once after a time without any. */
    limit(): number;
    /** Reserves repeats: they count in every window until they are recorded or released. */
    reserve(count: number): void;
    release(count: number): void;
    /** Records a reserved repeat that arrived at a monotonic time, at the latest. */
    recordReserved(at: number): void;
    /** Records repeats that arrive at any time up to a monotonic time in the future. */
    recordUntil(at: number, count: number): void;
}

/** What {@link createRetryWindow} needs. */
export interface RetryWindowOptions {
    /** Repeats per request. */
    readonly ratio: number;
    readonly windowMilliseconds: number;
    /** Repeats that this process may send in a window beyond the ratio: its share of the fleet's slack. */
    readonly share: () => number;
    readonly clock: Clock;
}

/** Resolution of the window. Amounts are rounded up to whole buckets. */
const bucketsPerWindow = 50;
/** Window lengths whose requests count. */
const countedWindows = 2;
/** Window lengths into the future for which repeats can be recorded. */
const futureWindows = 1;

/** Creates the window of one process and service. */
export function createRetryWindow(options: RetryWindowOptions): RetryWindow {
    const { ratio, windowMilliseconds, share, clock } = options;
    const bucketMilliseconds = windowMilliseconds / bucketsPerWindow;
    const requests = createBuckets(bucketMilliseconds, (countedWindows + 1) * bucketsPerWindow);
    const repeats = createBuckets(bucketMilliseconds, (1 + futureWindows) * bucketsPerWindow + 2);
    let reserved = 0;

    const indexOf = requests.indexOf;

    const sumRequests = (from: number, to: number) => {
        let sum = 0;
        for (let index = from; index <= to; index++) {
            sum += requests.get(index);
        }
        return sum;
    };

    const allow = (requestCount: number) => ratio / countedWindows * requestCount + share();

    /** Finds the least that is left in any window that begins in the past window or up to a bucket in the future. */
    const findLeast = (lastStart: number): number => {
        const now = indexOf(clock.monotonicNow());
        const lastFuture = now + futureWindows * bucketsPerWindow;
        let counted = sumRequests(lastStart + 1 - bucketsPerWindow, now);
        let sent = reserved;
        for (let index = lastStart + 1; index <= lastFuture; index++) {
            sent += repeats.get(index);
        }
        let least = Infinity;
        for (let start = lastStart; start >= now - bucketsPerWindow; start--) {
            sent += repeats.get(start);
            least = Math.min(least, allow(counted) - sent);
            counted += requests.get(start - bucketsPerWindow);
        }
        return least;
    };

    return {
        recordRequest: () => requests.add(indexOf(clock.monotonicNow()), 1),
        available: () => findLeast(indexOf(clock.monotonicNow())),
        availableUntil: at => findLeast(indexOf(at)),
        limit: () => {
            const now = indexOf(clock.monotonicNow());
            return allow(sumRequests(now + 1 - bucketsPerWindow, now));
        },
        reserve: count => {
            reserved += count;
        },
        release: count => {
            reserved -= count;
        },
        recordReserved: at => {
            reserved -= 1;
            repeats.add(indexOf(at), 1);
        },
        recordUntil: (at, count) => repeats.add(indexOf(at), count),
    };
}

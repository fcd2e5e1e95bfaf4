import type { RetryAllowance } from "../createWindowedRetryBudget.js";

/** The requests and repeats of a fleet for one service, by monotonic time in ascending order. */
export interface SentCalls {
    readonly requests: number[];
    readonly repeats: number[];
}

/** Returns the largest number of repeats beyond the allowance in any window; 0 or less if all are within it. */
export function findExcess(
    { requests, repeats }: SentCalls,
    { ratio, windowMilliseconds, slack }: RetryAllowance,
): number {
    const half = windowMilliseconds / 2;
    const sorted = (times: readonly number[]) => [...times].sort((left, right) => left - right);
    const [sortedRequests, sortedRepeats] = [sorted(requests), sorted(repeats)];
    const countWithin = (times: readonly number[], from: number) =>
        countUpTo(times, from + windowMilliseconds) - countBefore(times, from);
    // The excess is largest in a window that begins or ends at a repeat.
    const starts = [...new Set(sortedRepeats)].flatMap(at => [at, at - windowMilliseconds]);
    return starts.reduce((largest, from) => {
        const counted = [from, from - half, from - windowMilliseconds].map(start => countWithin(sortedRequests, start));
        return Math.max(largest, countWithin(sortedRepeats, from) - ratio * Math.max(...counted) - slack);
    }, -Infinity);
}

/** Returns how many of the sorted times are at or before a time. */
function countUpTo(times: readonly number[], at: number): number {
    let [low, high] = [0, times.length];
    while (low < high) {
        const middle = (low + high) >> 1;
        if ((times[middle] ?? Infinity) <= at) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

function countBefore(times: readonly number[], at: number): number {
    return countUpTo(times, at - Number.EPSILON * Math.abs(at));
}

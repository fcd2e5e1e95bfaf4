import type { Clock } from "daisyturn-utils";

/** The most that a figure has been of late. */
export interface RecentPeak {
    record(value: number): void;
    /** The most that was noted within the memory; 0 if nothing was. */
    max(): number;
}

interface NotedValue {
    readonly at: number;
    readonly value: number;
}

/** Creates the peak over the last `memoryMilliseconds`. */
export function createRecentPeak(clock: Clock, memoryMilliseconds: number): RecentPeak {
    /** Falling in value: what a later value exceeds can't be the most any more. */
    let candidates: NotedValue[] = [];

    return {
        record: value => {
            candidates = [...candidates.filter(noted => noted.value > value), { at: clock.monotonicNow(), value }];
        },
        max: () => {
            const oldest = clock.monotonicNow() - memoryMilliseconds;
            candidates = candidates.filter(noted => noted.at >= oldest);
            return candidates[0]?.value ?? 0;
        },
    };
}

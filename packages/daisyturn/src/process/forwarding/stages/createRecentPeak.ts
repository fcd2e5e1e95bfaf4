import type { Clock } from "daisyturn-utils";

/** The maximum of a value over a sliding time window. */
export interface RecentPeak {
    record(value: number): void;
    /** The maximum recorded within the window; 0 if nothing was recorded. */
    max(): number;
}

interface RecordedValue {
    readonly at: number;
    readonly value: number;
}

/** Creates a peak over the last `windowMilliseconds`. */
export function createRecentPeak(clock: Clock, windowMilliseconds: number): RecentPeak {
    /** In descending order of value: a value that a later one reaches or exceeds can no longer be the maximum. */
    let candidates: RecordedValue[] = [];

    return {
        record: value => {
            candidates = [...candidates.filter(recorded => recorded.value > value), {
                at: clock.monotonicNow(),
                value,
            }];
        },
        max: () => {
            const windowStart = clock.monotonicNow() - windowMilliseconds;
            candidates = candidates.filter(recorded => recorded.at >= windowStart);
            return candidates[0]?.value ?? 0;
        },
    };
}

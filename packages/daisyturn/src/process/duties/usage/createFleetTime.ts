import type { Clock } from "daisyturn-utils";

/** Time on which the processes of a fleet agree: the median of their wall clocks. */
export interface FleetTime {
    /** Returns milliseconds since the start of 1970 at a monotonic time of this process. */
    at(monotonic: number): number;
    /**
     * Applies the time that a coordinator has sent, unless its error may be larger than that of the time known so far.
     * @param requestedAt monotonic time of the message that it answers
     */
    adopt(time: number, requestedAt: number): void;
    /**
     * Records the wall clock of another process, as just received.
     * @param source incarnation of the process
     * @param sentAt the process's monotonic clock at the same time; undefined if an earlier version does not send it
     */
    recordClock(source: string, wall: number, sentAt?: number): void;
    /**
     * Applies the median of the clocks received recently and of this process's own.
     *
     * @param processes number of processes that send their clocks to this one, and itself
     * @returns whether enough clocks are known for that
     */
    adoptMedian(processes: number): boolean;
    /** Whether a time of the fleet has been applied, so that others may be told. */
    isAgreed(): boolean;
}

interface KnownClock {
    readonly offset: number;
    /** Smallest difference between the monotonic clocks, which contains the shortest time of a message. */
    readonly fastest: number;
    readonly receivedAt: number;
}

const clockLifetimeMilliseconds = 30_000;
/** The median of this many clocks is right although two of them are wrong. */
const sufficientClocks = 5;
/** The median of this many clocks is right although one of them is wrong; that of two is the later one. */
const fewestClocks = 3;
/** How much faster than needed the possible error of a time grows, as a part of its age. Steady clocks differ by less. */
const errorGrowth = 0.01;

/**
 * Creates the time of one process. It follows the process's monotonic clock between two messages, so a jump of its wall
 * clock does not affect it.
 */
export function createFleetTime(clock: Clock): FleetTime {
    let offset = clock.wallNow() - clock.monotonicNow();
    /** Largest error of the offset when it was applied. */
    let error = Infinity;
    let appliedAt = clock.monotonicNow();
    const clocks = new Map<string, KnownClock>();

    const apply = (nextOffset: number, nextError: number) => {
        offset = nextOffset;
        error = nextError;
        appliedAt = clock.monotonicNow();
    };

    return {
        at: monotonic => monotonic + offset,
        adopt: (time, requestedAt) => {
            const now = clock.monotonicNow();
            const largestError = (now - requestedAt) / 2;
            // A message that was read late, after a suspension for instance, tells a time that has passed.
            if (largestError <= error + (now - appliedAt) * errorGrowth) {
                apply(time + largestError - now, largestError);
            }
        },
        recordClock: (source, wall, sentAt) => {
            const now = clock.monotonicNow();
            const difference = now - (sentAt ?? now);
            const fastest = Math.min(difference, clocks.get(source)?.fastest ?? difference);
            clocks.set(source, { offset: wall + (difference - fastest) - now, fastest, receivedAt: now });
        },
        adoptMedian: processes => {
            const now = clock.monotonicNow();
            clocks.forEach(({ receivedAt }, source) => {
                if (now - receivedAt > clockLifetimeMilliseconds) {
                    clocks.delete(source);
                }
            });
            const offsets = [...clocks.values()].map(known => known.offset);
            offsets.push(clock.wallNow() - now);
            const majority = Math.floor(processes / 2) + 1;
            if (offsets.length < Math.min(sufficientClocks, Math.max(majority, Math.min(processes, fewestClocks)))) {
                return false;
            }
            offsets.sort((left, right) => left - right);
            apply(offsets[offsets.length >> 1] ?? offset, 0);
            return true;
        },
        isAgreed: () => error < Infinity,
    };
}

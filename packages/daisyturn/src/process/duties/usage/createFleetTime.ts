import type { Clock } from "daisyturn-utils";

/** Time on which the processes of a fleet agree: the median of their wall clocks. */
export interface FleetTime {
    /** Returns milliseconds since the start of 1970 at a monotonic time of this process. */
    at(monotonic: number): number;
    /** Applies the time that the coordinator has sent. */
    adopt(time: number): void;
    /** Records the wall clock of another process, as just received. */
    recordClock(peerId: string, wall: number): void;
    /** Returns the median of the clocks received recently and of this process's own. */
    median(): number;
}

const clockLifetimeMilliseconds = 30_000;

/**
 * Creates the time of one process. It follows the process's monotonic clock between two messages, so a jump of its wall
 * clock does not affect it.
 */
export function createFleetTime(clock: Clock): FleetTime {
    let offset = clock.wallNow() - clock.monotonicNow();
    const clocks = new Map<string, { readonly offset: number; readonly receivedAt: number; }>();
    return {
        at: monotonic => monotonic + offset,
        adopt: time => {
            offset = time - clock.monotonicNow();
        },
        recordClock: (peerId, wall) => {
            clocks.set(peerId, { offset: wall - clock.monotonicNow(), receivedAt: clock.monotonicNow() });
        },
        median: () => {
            const now = clock.monotonicNow();
            clocks.forEach(({ receivedAt }, peerId) => {
                if (now - receivedAt > clockLifetimeMilliseconds) {
                    clocks.delete(peerId);
                }
            });
            const offsets = [...clocks.values()].map(known => known.offset);
            offsets.push(clock.wallNow() - now);
            offsets.sort((left, right) => left - right);
            return now + (offsets[offsets.length >> 1] ?? offset);
        },
    };
}

import type { Clock } from "daisyturn-utils";

/** Limits memory use. Settling an evicted claim only takes longer. */
const maxObservations = 10_000;

/** Tracks since when this process has observed abandoned claims unchanged. */
export interface ClaimObservations {
    /** Records an observation and returns the monotonic time at which the row was first seen at this version. */
    record(rowKey: string, version: number): number;
    forget(rowKey: string): void;
}

export function createClaimObservations(clock: Clock): ClaimObservations {
    const seen = new Map<string, { readonly version: number; readonly firstSeenAt: number; }>();

    const record = (rowKey: string, version: number) => {
        const known = seen.get(rowKey);
        if (known?.version === version) {
            return known.firstSeenAt;
        }
        const firstSeenAt = clock.monotonicNow();
        seen.delete(rowKey);
        seen.set(rowKey, { version, firstSeenAt });
        evictOldest();
        return firstSeenAt;
    };

    const evictOldest = () => {
        const oldest = seen.keys().next();
        if (seen.size > maxObservations && !oldest.done) {
            seen.delete(oldest.value);
        }
    };

    return { record, forget: rowKey => seen.delete(rowKey) };
}

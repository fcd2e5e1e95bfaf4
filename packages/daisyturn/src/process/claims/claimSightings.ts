import type { Clock } from "daisyturn-utils";

/** Claims remembered at once; a forgotten one only waits longer. */
const maximumSightings = 10_000;

/** Since when this process has seen abandoned claims unchanged. */
export interface ClaimSightings {
    /** Monotonic time at which the row was first seen at this version. */
    note(rowKey: string, version: number): number;
    forget(rowKey: string): void;
}

/** Creates an empty memory of sightings. */
export function createClaimSightings(clock: Clock): ClaimSightings {
    const seen = new Map<string, { readonly version: number; readonly firstSeenAt: number; }>();

    const note = (rowKey: string, version: number) => {
        const known = seen.get(rowKey);
        if (known?.version === version) {
            return known.firstSeenAt;
        }
        const firstSeenAt = clock.monotonicNow();
        seen.delete(rowKey);
        seen.set(rowKey, { version, firstSeenAt });
        forgetOldest();
        return firstSeenAt;
    };

    const forgetOldest = () => {
        const oldest = seen.keys().next();
        if (seen.size > maximumSightings && !oldest.done) {
            seen.delete(oldest.value);
        }
    };

    return { note, forget: rowKey => seen.delete(rowKey) };
}

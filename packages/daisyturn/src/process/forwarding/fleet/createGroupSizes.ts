import type { Clock } from "daisyturn-utils";

/** How many processes the load reports of other groups' coordinators cover. */
export interface GroupSizes {
    /** @param reporting number of processes; undefined if the coordinator's version does not send it */
    record(coordinatorId: string, reporting: number | undefined): void;
    /** Sum over the coordinators that have reported a moment ago. */
    total(): number;
}

/** @param milliseconds time after which a report no longer counts */
export function createGroupSizes(clock: Clock, milliseconds: number): GroupSizes {
    const sizes = new Map<string, { readonly reporting: number; readonly expiresAt: number; }>();
    return {
        record: (coordinatorId, reporting = 0) =>
            void sizes.set(coordinatorId, { reporting, expiresAt: clock.monotonicNow() + milliseconds }),
        total: () => {
            const now = clock.monotonicNow();
            sizes.forEach(({ expiresAt }, coordinatorId) => expiresAt <= now && sizes.delete(coordinatorId));
            return [...sizes.values()].reduce((sum, { reporting }) => sum + reporting, 0);
        },
    };
}

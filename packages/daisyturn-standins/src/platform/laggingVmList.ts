import type { VmEntry, VmListing } from "daisyturn";
import type { Clock } from "daisyturn-utils";

/** A list of VMs whose changes become visible only after a lag. */
export interface LaggingVmList {
    /** Adds an entry, or replaces the one with the same id. */
    register(entry: VmEntry): void;
    /** Removes the entry of a VM that no longer exists. */
    remove(vmId: string): void;
    /** Returns the list as it was `vmLagMilliseconds` ago. */
    show(): VmListing;
}

interface Snapshot {
    readonly at: number;
    readonly entries: readonly VmEntry[];
}

/** Creates the list. The initial entries are visible at once. */
export function createLaggingVmList(
    clock: Clock,
    initial: readonly VmEntry[],
    lagMilliseconds: () => number,
): LaggingVmList {
    let snapshots: Snapshot[] = [{ at: Number.NEGATIVE_INFINITY, entries: initial }];
    const newest = () => snapshots.at(-1)?.entries ?? [];
    const withoutVm = (vmId: string) => newest().filter(entry => entry.vmId !== vmId);
    const add = (entries: readonly VmEntry[]) => {
        snapshots.push({ at: clock.monotonicNow(), entries });
    };

    return {
        register: entry => add([...withoutVm(entry.vmId), entry]),
        remove: vmId => add(withoutVm(vmId)),
        show: () => {
            const shownAt = clock.monotonicNow() - lagMilliseconds();
            const index = snapshots.findLastIndex(snapshot => snapshot.at <= shownAt);
            snapshots = snapshots.slice(Math.max(0, index));
            return { asOf: clock.wallNow() - lagMilliseconds(), entries: snapshots[0]?.entries ?? [] };
        },
    };
}

import { createMemoryTableService, type VmEntry } from "daisyturn";
import { type Clock, createSeededRandom } from "daisyturn-utils";
import { createLaggingVmList } from "./laggingVmList.js";
import { defaultPlatformFaults, type PlatformFaults } from "./platformFaults.js";
import { createRateLimit } from "./rateLimit.js";

/** State of the platform's stand-in. */
export type PlatformState = ReturnType<typeof createPlatformState>;

export interface PlatformStateOptions {
    readonly clock: Clock;
    readonly vms: readonly VmEntry[];
    readonly faults: Partial<PlatformFaults>;
    /** Seed of the random choice of the requests that fail. */
    readonly seed: number;
}

/** Creates the state that the stand-in's routes share. */
export function createPlatformState({ clock, vms, faults, seed }: PlatformStateOptions) {
    let current: PlatformFaults = { ...defaultPlatformFaults, ...faults };
    return {
        clock,
        random: createSeededRandom(seed),
        tableService: createMemoryTableService(),
        objects: new Map<string, string>(),
        vmList: createLaggingVmList(clock, vms, () => current.vmLagMilliseconds),
        writeLimit: createRateLimit(clock, () => current.writesPerSecond),
        readLimit: createRateLimit(clock, () => current.readsPerSecond),
        weightGrantLimit: createRateLimit(clock, () => current.weightGrantsPerSecond),
        /** Counts of the calls since the start. */
        counts: { requests: 0, transactions: 0, committed: 0, rowsWritten: 0, reads: 0, throttled: 0, weightGrants: 0 },
        faults: () => current,
        setFaults: (change: Partial<PlatformFaults>) => {
            current = { ...current, ...change };
        },
    };
}

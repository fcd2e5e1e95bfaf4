import type { Clock } from "daisyturn-utils";
import { type VmList, VmState } from "../../ports/vmList.js";

/** What the watch needs. */
export interface VmWatchOptions {
    readonly vmList: VmList;
    readonly clock: Clock;
    readonly intervalMilliseconds?: number;
}

/** Knows which VMs the platform is about to take away. */
export interface VmWatch {
    /**
     * Whether the VM at this IP number leaves. A VM that is not listed counts as staying: the list lags, so a new
     * target may not be listed yet, and one that is gone shows by its failures.
     */
    isLeaving(address: string): boolean;
    run(signal: AbortSignal): Promise<void>;
}

const defaultIntervalMilliseconds = 1_000;

/** Creates a watch that reads the list at an interval and keeps the last reading while the list can't be had. */
export function createVmWatch(options: VmWatchOptions): VmWatch {
    const { clock, vmList } = options;
    const interval = options.intervalMilliseconds ?? defaultIntervalMilliseconds;
    let leaving: ReadonlySet<string> = new Set();

    const run = async (signal: AbortSignal) => {
        while (!signal.aborted) {
            const next = clock.monotonicNow() + interval;
            const listing = await vmList.list(next);
            if (listing.isOk) {
                const entries = listing.value.entries.filter(entry => entry.state === VmState.Leaving);
                leaving = new Set(entries.map(entry => entry.address));
            }
            await clock.sleepUntil(next, signal);
        }
    };

    return { isLeaving: address => leaving.has(address), run };
}

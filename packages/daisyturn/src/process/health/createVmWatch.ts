import type { Clock } from "daisyturn-utils";
import { type VmList, VmState } from "../../ports/vmList.js";

/** What the watch needs. */
export interface VmWatchOptions {
    readonly vmList: VmList;
    readonly clock: Clock;
    readonly intervalMilliseconds?: number;
}

/** Reports which VMs the platform is about to remove. */
export interface VmWatch {
    /**
     * Whether the VM at this IP address is about to be removed. A VM that is not listed counts as staying: the list
     * lags, so a new target may not be listed yet, and a removed VM is noticed by its failing calls.
     */
    isLeaving(address: string): boolean;
    run(signal: AbortSignal): Promise<void>;
}

const defaultIntervalMilliseconds = 1_000;

/** Creates a watch that reads the list at an interval and uses the last list read while the list is unavailable. */
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

import type { Clock, Failure } from "daisyturn-utils";
import type { Result } from "true-myth/result";
import type { Membership } from "../peers/index.js";
import type { ConfigurationTiming } from "./configurationTiming.js";
import type { ConfigurationPeers } from "./exchange/createConfigurationPeers.js";

export interface AdoptionOptions {
    readonly peers: ConfigurationPeers;
    readonly membership: Membership;
    readonly clock: Clock;
    readonly timing: ConfigurationTiming;
    readonly catchUpFromStore: (deadline: number) => Promise<Result<void, Failure>>;
}

/**
 * Brings a newly started process to the newest version that can be determined, or waits until one can be.
 *
 * An answer of the store is sufficient. Without the store, the highest generation among all reachable peers is adopted,
 * but only if the peers that have a configuration form, together with this process, a majority of the cell. The cell
 * size is the largest one reported by these peers or known here. Otherwise a single stale peer, contacted first after a
 * partition, could determine the version. With neither store nor majority, the process stays unready: it could serve
 * items that have been retired.
 */
export async function adoptVersion(options: AdoptionOptions, signal: AbortSignal): Promise<void> {
    const { clock, timing } = options;
    while (!signal.aborted) {
        // Peers first: what they supply is not read from the store and not stored in memory a second time.
        const isAdoptedFromPeers = await adoptFromPeers(options);
        const storeRead = await options.catchUpFromStore(clock.monotonicNow() + timing.storeCallMilliseconds);
        if (isAdoptedFromPeers || storeRead.isOk) {
            return;
        }
        await clock.sleepUntil(clock.monotonicNow() + timing.adoptRetryMilliseconds, signal);
    }
}

/** Pulls from all live peers. Returns whether enough of them have answered to do without the store. */
async function adoptFromPeers({ peers, membership }: AdoptionOptions): Promise<boolean> {
    const reports = await Promise.all(membership.livePeers().map(peer => peers.pullFrom(peer.processId)));
    const informed = reports.filter(report => report !== undefined && report.generation > 0);
    const cellSize = Math.max(peers.cellSize(), ...informed.map(report => report?.cellSize ?? 0));
    return informed.length > 0 && 2 * (informed.length + 1) > cellSize;
}

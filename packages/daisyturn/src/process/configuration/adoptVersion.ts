import type { Clock, Failure } from "daisyturn-utils";
import type { Result } from "true-myth/result";
import type { Membership } from "../peers/index.js";
import type { ConfigurationTiming } from "./configurationTiming.js";
import type { ConfigurationPeers } from "./exchange/createConfigurationPeers.js";

/** What adoption needs. */
export interface AdoptionOptions {
    readonly peers: ConfigurationPeers;
    readonly membership: Membership;
    readonly clock: Clock;
    readonly timing: ConfigurationTiming;
    readonly catchUpFromStore: (deadline: number) => Promise<Result<void, Failure>>;
}

/**
 * Brings a fresh process to the newest version that can be known, or waits until it can be.
 *
 * An answer of the store settles it. Without the store, every reachable peer is asked and the highest generation is
 * taken, but only if the peers that have a configuration make up, with this process, a majority of the cell, whose size
 * the best informed of them tells: one stale peer, met first after a partition, must not be believed alone. With
 * neither, the process stays unready: it would serve what may have been retired.
 */
export async function adoptVersion(options: AdoptionOptions, signal: AbortSignal): Promise<void> {
    const { clock, timing } = options;
    while (!signal.aborted) {
        // Peers first: what they have need not be read from the store, nor held in memory a second time.
        const isAdoptedFromPeers = await adoptFromPeers(options);
        const storeRead = await options.catchUpFromStore(clock.monotonicNow() + timing.storeCallMilliseconds);
        if (isAdoptedFromPeers || storeRead.isOk) {
            return;
        }
        await clock.sleepUntil(clock.monotonicNow() + timing.adoptRetryMilliseconds, signal);
    }
}

/** Whether enough peers have answered to go without the store. */
async function adoptFromPeers({ peers, membership }: AdoptionOptions): Promise<boolean> {
    const reports = await Promise.all(membership.livePeers().map(peer => peers.pullFrom(peer.processId)));
    const informed = reports.filter(report => report !== undefined && report.generation > 0);
    const cellSize = Math.max(peers.cellSize(), ...informed.map(report => report?.cellSize ?? 0));
    return informed.length > 0 && 2 * (informed.length + 1) > cellSize;
}

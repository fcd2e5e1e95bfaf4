import type { Clock } from "daisyturn-utils";
import type { WorkUnderWay } from "./workUnderWay.js";

/** Sums of the work that all peers have under way, by target. */
export interface PeerLoads {
    /**
     * Replaces the previous report of a peer.
     * @param expiresAt monotonic time after which the report no longer counts
     */
    record(peerId: string, underWay: readonly WorkUnderWay[], expiresAt: number): void;
    forget(peerId: string): void;
    /**
     * Returns a number that differs from an earlier one if a sum may have changed, also by the expiry of a report.
     * @param now monotonic time
     */
    revision(now: number): number;
    /**
     * Undefined while there is no report of any peer.
     * @param now monotonic time; read from the clock by default
     */
    sum(targetId: string, now?: number): PeerLoad | undefined;
    /** The sums of all targets at which peers have work under way. */
    list(): readonly WorkUnderWay[];
}

/** Work that peers have under way at one target. */
export type PeerLoad = Omit<WorkUnderWay, "targetId">;

const noLoad: PeerLoad = { calls: 0, work: 0, deferredWork: 0, tokens: 0 };

/**
 * Creates the sums of one process. They are updated with each message, since every placement needs the sum for each
 * engine and adding the reports of all peers up takes long in a large fleet.
 */
export function createPeerLoads(clock: Clock): PeerLoads {
    const peers = new Map<string, { readonly expiresAt: number; readonly underWay: readonly WorkUnderWay[]; }>();
    const sums = new Map<string, PeerLoad>();
    let nextExpiryAt = Infinity;
    let revision = 0;

    const add = (underWay: readonly WorkUnderWay[], sign: 1 | -1) => {
        for (const entry of underWay) {
            const known = sums.get(entry.targetId) ?? noLoad;
            const sum: PeerLoad = {
                calls: known.calls + sign * entry.calls,
                work: known.work + sign * entry.work,
                deferredWork: known.deferredWork + sign * entry.deferredWork,
                tokens: known.tokens + sign * entry.tokens,
            };
            if (sum.calls === 0 && sum.work === 0 && sum.deferredWork === 0 && sum.tokens === 0) {
                sums.delete(entry.targetId);
            }
            else {
                sums.set(entry.targetId, sum);
            }
        }
    };

    const forget = (peerId: string) => {
        revision += 1;
        add(peers.get(peerId)?.underWay ?? [], -1);
        peers.delete(peerId);
    };

    const removeExpired = (now: number) => {
        if (now <= nextExpiryAt) {
            return;
        }
        [...peers].filter(([, { expiresAt }]) => expiresAt < now).forEach(([peerId]) => forget(peerId));
        nextExpiryAt = Math.min(...[...peers.values()].map(({ expiresAt }) => expiresAt));
    };

    return {
        forget,
        record: (peerId, underWay, expiresAt) => {
            forget(peerId);
            peers.set(peerId, { expiresAt, underWay });
            add(underWay, 1);
            nextExpiryAt = Math.min(nextExpiryAt, expiresAt);
        },
        revision: now => {
            removeExpired(now);
            return revision;
        },
        sum: (targetId, now = clock.monotonicNow()) => {
            removeExpired(now);
            return peers.size > 0 ? sums.get(targetId) ?? noLoad : undefined;
        },
        list: () => {
            removeExpired(clock.monotonicNow());
            return [...sums].map(([targetId, sum]) => ({ targetId, ...sum }));
        },
    };
}

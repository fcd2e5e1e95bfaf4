import { hashTextTo32Bits, rendezvousWeight } from "daisyturn-utils";
import type { RegisteredPeer } from "../../ports/peerRegistry.js";

/** Rankings by list of processes; a list is replaced where it changes, and is used for each request until then. */
const rankings = new WeakMap<readonly RegisteredPeer[], Map<string, readonly RegisteredPeer[]>>();

/** Orders processes by rendezvous hashing: the first is the home of the quota, the others stand in for it in this order. */
export function rankHomes(quota: string, peers: readonly RegisteredPeer[]): readonly RegisteredPeer[] {
    const known = rankings.get(peers) ?? new Map<string, readonly RegisteredPeer[]>();
    rankings.set(peers, known);
    const ranking = known.get(quota)
        ?? [...peers].sort((left, right) => compareHomes(quota, left.peerId, right.peerId));
    known.set(quota, ranking);
    return ranking;
}

/** Returns a negative number if the first process comes before the second. */
export function compareHomes(quota: string, left: string, right: string): number {
    const key = hashTextTo32Bits(quota);
    const difference = rendezvousWeight(key, hashTextTo32Bits(right)) - rendezvousWeight(key, hashTextTo32Bits(left));
    return difference === 0 ? Number(left > right) - Number(left < right) : difference;
}

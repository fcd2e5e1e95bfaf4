import { hashTextTo32Bits, rendezvousWeight } from "daisyturn-utils";
import type { RegisteredPeer } from "../../../../ports/peerRegistry.js";

/** The processes that keep a record besides the one that made it. */
const replicaCount = 3;

/** Hashes of the names of the peers in each list. A process that ends selects replicas for thousands of records. */
const hashesByList = new WeakMap<readonly RegisteredPeer[], readonly number[]>();

/**
 * Selects the replicas of a record by rendezvous hashing, so that any process finds them by the record's name. They are
 * in different availability zones as far as there are enough.
 * @param peers a list that never changes
 */
export function selectReplicas(name: string, peers: readonly RegisteredPeer[]): readonly RegisteredPeer[] {
    const key = hashTextTo32Bits(name);
    const weights = findHashes(peers).map(hash => rendezvousWeight(key, hash));
    const chosen: number[] = [];
    const zones = new Set<string>();
    while (chosen.length < Math.min(replicaCount, peers.length)) {
        const inNewZone = findHeaviest(weights, index => !zones.has(peers[index]?.availabilityZone ?? ""));
        const next = inNewZone ?? findHeaviest(weights, index => !chosen.includes(index)) ?? 0;
        chosen.push(next);
        zones.add(peers[next]?.availabilityZone ?? "");
    }
    return chosen.flatMap(index => peers[index] ?? []);
}

function findHashes(peers: readonly RegisteredPeer[]): readonly number[] {
    let hashes = hashesByList.get(peers);
    if (!hashes) {
        hashes = peers.map(({ peerId }) => hashTextTo32Bits(peerId));
        hashesByList.set(peers, hashes);
    }
    return hashes;
}

/** Returns the index of the highest weight among those that pass the check, the first one of equals. */
function findHeaviest(weights: readonly number[], isEligible: (index: number) => boolean): number | undefined {
    let best: number | undefined;
    for (let index = 0; index < weights.length; index++) {
        const isHeavier = best === undefined || (weights[index] ?? 0) > (weights[best] ?? 0);
        if (isHeavier && isEligible(index)) {
            best = index;
        }
    }
    return best;
}

import { hashTextTo32Bits, rendezvousWeight } from "daisyturn-utils";
import type { RegisteredPeer } from "../../../../ports/peerRegistry.js";

/** The processes that keep a record besides the one that made it. */
const replicaCount = 3;

/**
 * Selects the replicas of a record by rendezvous hashing, so that any process finds them by the record's name. They are
 * in different availability zones as far as there are enough.
 */
export function selectReplicas(name: string, peers: readonly RegisteredPeer[]): readonly RegisteredPeer[] {
    const key = hashTextTo32Bits(name);
    const ranked = peers
        .map(peer => ({ peer, weight: rendezvousWeight(key, hashTextTo32Bits(peer.peerId)) }))
        .sort((left, right) => right.weight - left.weight)
        .map(({ peer }) => peer);
    const isFirstOfZone = ({ availabilityZone }: RegisteredPeer, index: number) =>
        ranked.findIndex(peer => peer.availabilityZone === availabilityZone) === index;
    const firsts = ranked.filter(isFirstOfZone);
    return [...firsts, ...ranked.filter(peer => !firsts.includes(peer))].slice(0, replicaCount);
}

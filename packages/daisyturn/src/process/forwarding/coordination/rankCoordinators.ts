import { hashTextTo32Bits } from "daisyturn-utils";
import type { RegisteredPeer } from "../../../ports/peerRegistry.js";

/**
 * Up to so many processes share one coordinator over all availability zones; more have one in each zone, so that what a
 * coordinator does grows with its zone and few messages cross zones.
 */
const maxSingleGroupSize = 20;

/** The processes that share a coordinator with one of a zone. */
export function selectGroup(peers: readonly RegisteredPeer[], availabilityZone: string): readonly RegisteredPeer[] {
    return peers.length <= maxSingleGroupSize
        ? peers
        : peers.filter(peer => peer.availabilityZone === availabilityZone);
}

/**
 * The processes of a group in the order in which they are its coordinator, the same to all that know the same peers: those
 * with most processor first, since they answer for the others. The first one that is heard of is the coordinator. Two may
 * take themselves for it while they know different peers; placements are then decided with less known, and nothing breaks.
 */
export function rankCoordinators(group: readonly RegisteredPeer[]): readonly RegisteredPeer[] {
    return group
        .map(peer => ({ peer, hash: hashTextTo32Bits(peer.peerId) }))
        .sort((left, right) => right.peer.strength - left.peer.strength || left.hash - right.hash)
        .map(({ peer }) => peer);
}

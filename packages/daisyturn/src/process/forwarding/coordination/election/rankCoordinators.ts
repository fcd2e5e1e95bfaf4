import { hashTextTo32Bits } from "daisyturn-utils";
import type { RegisteredPeer } from "../../../../ports/peerRegistry.js";

/**
 * Up to this many processes share one coordinator across all availability zones. Larger fleets have one coordinator in
 * each zone, so that its load depends only on the size of its zone and few messages cross zones.
 */
const maxSingleGroupSize = 20;

/** Whether a fleet of this many processes has one coordinator in each availability zone. */
export function hasZoneGroups(processes: number): boolean {
    return processes > maxSingleGroupSize;
}

/**
 * Selects the processes that share a coordinator with the processes of a zone.
 * @param peers the known processes
 * @param processes the number of processes in the fleet, which may be more than the known ones
 */
export function selectGroup(
    peers: readonly RegisteredPeer[],
    processes: number,
    availabilityZone: string,
): readonly RegisteredPeer[] {
    return !hasZoneGroups(processes)
        ? peers
        : peers.filter(peer => peer.availabilityZone === availabilityZone);
}

/**
 * Ranks the processes of a group as its coordinators; the first one that is reachable is the coordinator. Processes
 * with the most processor capacity come first, because they answer for the others. All processes that know the same
 * peers compute the same order. While they know different peers, two may act as coordinator: placements are then
 * decided with less information, but remain valid.
 */
export function rankCoordinators(group: readonly RegisteredPeer[]): readonly RegisteredPeer[] {
    return group
        .map(peer => ({ peer, hash: hashTextTo32Bits(peer.peerId) }))
        .sort((left, right) => right.peer.strength - left.peer.strength || left.hash - right.hash)
        .map(({ peer }) => peer);
}

import type { RegisteredPeer } from "../../../ports/peerRegistry.js";
import type { CoordinatorLink } from "../coordination/createCoordinatorLink.js";
import type { Members } from "../coordination/createMembers.js";
import { selectGroup } from "../coordination/rankCoordinators.js";
import type { ExpiringSet } from "../links/createExpiringSet.js";

/** What {@link knowsFleet} needs. */
export interface FleetKnowledge {
    readonly self: RegisteredPeer;
    readonly link: Pick<CoordinatorLink, "isCandidate" | "countListed" | "listPeers" | "listOtherCandidates">;
    readonly members: Pick<Members, "list">;
    /** Coordinators of other groups that have reported a moment ago. */
    readonly otherCoordinators: Pick<ExpiringSet, "has">;
}

/** The registry lists ended processes for some seconds, so not all of the group are required to report. */
const reportingPart = 0.75;

/**
 * Whether the loads of the whole fleet are known: this process receives the reports of its group, most members report,
 * and so does a coordinator of each other group.
 */
export function knowsFleet({ self, link, members, otherCoordinators }: FleetKnowledge): boolean {
    if (link.countListed() === undefined || !link.isCandidate()) {
        return false;
    }
    const peers = link.listPeers();
    const others = selectGroup(peers, self.availabilityZone).length - 1;
    if (members.list().length < others * reportingPart) {
        return false;
    }
    const reporting = new Set(
        peers.filter(peer => otherCoordinators.has(peer.peerId)).map(peer => peer.availabilityZone),
    );
    return link.listOtherCandidates().every(peer => reporting.has(peer.availabilityZone));
}

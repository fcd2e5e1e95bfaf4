import type { CoordinatorLink } from "../coordination/createCoordinatorLink.js";
import type { Members } from "../coordination/createMembers.js";
import type { ExpiringSet } from "../links/createExpiringSet.js";
import type { GroupSizes } from "./createGroupSizes.js";

/** What {@link knowsFleet} needs. */
export interface FleetKnowledge {
    readonly link: Pick<CoordinatorLink, "isCandidate" | "countListed" | "listPeers" | "listOtherCandidates">;
    readonly members: Pick<Members, "list">;
    /** Coordinators of other groups that have reported a moment ago, and how many processes their reports cover. */
    readonly otherCoordinators: Pick<ExpiringSet, "has">;
    readonly groupSizes: Pick<GroupSizes, "total">;
}

/** The registry lists ended processes for some seconds, so not all are required to report. */
const reportingPart = 0.75;

/**
 * Whether the loads of the whole fleet are known: a coordinator of each other group reports, and the reports cover most
 * processes. Processes that read the registry while it had few entries may report to the coordinator of another group.
 */
export function knowsFleet({ link, members, otherCoordinators, groupSizes }: FleetKnowledge): boolean {
    if (link.countListed() === undefined || !link.isCandidate()) {
        return false;
    }
    const peers = link.listPeers();
    const covered = 1 + members.list().length + groupSizes.total();
    if (covered < peers.length * reportingPart) {
        return false;
    }
    const reporting = new Set(
        peers.filter(peer => otherCoordinators.has(peer.peerId)).map(peer => peer.availabilityZone),
    );
    return link.listOtherCandidates().every(peer => reporting.has(peer.availabilityZone));
}

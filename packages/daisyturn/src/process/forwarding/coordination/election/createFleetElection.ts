import type { ExpiringSet } from "../../links/createExpiringSet.js";
import type { TargetLinks } from "../../links/createTargetLinks.js";
import type { CoordinatorLink } from "../createCoordinatorLink.js";
import type { TableReader } from "../createTableReader.js";

/** What {@link createFleetElection} needs. */
export interface FleetElectionOptions {
    readonly selfId: string;
    readonly link: Pick<CoordinatorLink, "leader" | "isCandidate">;
    readonly links: Pick<TargetLinks, "isCutOff">;
    readonly reader: Pick<TableReader, "isLost">;
    /** Coordinators of other groups that reach the targets. */
    readonly otherCoordinators: Pick<ExpiringSet, "list">;
    /** Coordinators of other groups that the store does not answer. */
    readonly storelessCoordinators: Pick<ExpiringSet, "has">;
    /** Coordinators of this group whose links to most targets are lost. */
    readonly cutOffCoordinators: Pick<ExpiringSet, "has">;
}

/** Decides which process acts for the whole fleet. */
export interface FleetElection {
    /**
     * Whether this process is the one that acts for the whole fleet: it reaches the targets and coordinates its group,
     * and its name sorts before those of all such coordinators of other groups. In a fleet of one group, the next process
     * in the ranking stands in for a coordinator that is cut off from most targets.
     */
    isFleetCoordinator(): boolean;
    /**
     * The same among the coordinators that the store answers, for work under a lease: a coordinator that is cut off from
     * the store alone would otherwise keep all others from acquiring the lease that it can no longer renew.
     */
    isLeaseCoordinator(): boolean;
    /** Whether this process coordinates a group and reaches the targets and the store, so that it may keep a lease. */
    mayKeepLease(): boolean;
}

export function createFleetElection(options: FleetElectionOptions): FleetElection {
    const { selfId, link, links, reader, otherCoordinators, storelessCoordinators, cutOffCoordinators } = options;

    const isLeader = () => link.leader()?.peerId === selfId;

    /** Whether this process is next in the ranking after a coordinator that is cut off from most targets. */
    const isStandIn = () => {
        const leader = link.leader();
        return leader !== undefined && link.isCandidate() && cutOffCoordinators.has(leader.peerId);
    };

    const isFirst = (others: readonly string[]) => isLeader() && others.every(peerId => peerId > selfId);

    const isFleetCoordinator = () => {
        const others = otherCoordinators.list();
        return (isFirst(others) || (others.length === 0 && isStandIn())) && !links.isCutOff();
    };

    return {
        isFleetCoordinator,
        isLeaseCoordinator: () => {
            const others = otherCoordinators.list().filter(peerId => !storelessCoordinators.has(peerId));
            return others.length === 0
                ? isFleetCoordinator()
                : isFirst(others) && !links.isCutOff() && !reader.isLost();
        },
        mayKeepLease: () => isLeader() && !links.isCutOff() && !reader.isLost(),
    };
}

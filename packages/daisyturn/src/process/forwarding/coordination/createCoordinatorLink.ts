import { type Clock, EventKind, type EventLog } from "daisyturn-utils";
import type { RegisteredPeer } from "../../../ports/peerRegistry.js";
import { hasZoneGroups, rankCoordinators, selectGroup } from "./election/rankCoordinators.js";

/** Determines which process coordinates the group of this one, based on which processes are reachable. */
export interface CoordinatorLink {
    /** Replaces the known processes. */
    setPeers(peers: readonly RegisteredPeer[]): void;
    /** Adds processes that a coordinator has announced. */
    addPeers(peers: readonly RegisteredPeer[]): void;
    /**
     * Lists the processes that receive this one's load reports: the first non-silent ones in the ranking, and silent
     * ones before them.
     */
    listReportReceivers(): readonly RegisteredPeer[];
    /** Returns the process that places prompts for this one, possibly this one itself; undefined while there is none. */
    current(): RegisteredPeer | undefined;
    /**
     * Returns the first process in the ranking that is in contact, whether or not it has answered this one's latest
     * requests in time: duties for the whole group must not follow the slow link of one process.
     */
    leader(): RegisteredPeer | undefined;
    find(peerId: string): RegisteredPeer | undefined;
    /** Lists all known processes, including this one. */
    listPeers(): readonly RegisteredPeer[];
    /**
     * Returns the number of processes in the fleet: as a coordinator has announced it or, if this process is a candidate
     * or reaches none, from its own list. Undefined before the registry was read.
     */
    countProcesses(): number | undefined;
    /** Returns the length of this process's own list; undefined before the registry was read. */
    countListed(): number | undefined;
    /** Whether a process was sent load reports and has not answered in time. */
    isSilent(peer: RegisteredPeer): boolean;
    /** Whether any coordinator other than this process is reachable. */
    hasContact(): boolean;
    /** Whether no process ahead of this one in the ranking is in contact. */
    isFirst(): boolean;
    /** Whether this process is the coordinator or the standby that takes over from it. */
    isCandidate(): boolean;
    /** Lists the first processes in the ranking of the group. */
    listCandidates(): readonly RegisteredPeer[];
    /** Lists the first processes in the ranking of each other group. */
    listOtherCandidates(): readonly RegisteredPeer[];
    /**
     * Records a state message of a coordinator, and whether it accepts placement requests.
     * @param processes the number of processes that it knows; undefined if it does not know or send it
     */
    recordContact(peerId: string, isAnswering: boolean, processes?: number): void;
    recordAnswer(peerId: string): void;
    /** Records a placement request that was not answered in time. */
    recordTimeout(peerId: string): void;
}

/** What {@link createCoordinatorLink} needs. */
export interface CoordinatorLinkOptions {
    readonly self: RegisteredPeer;
    readonly clock: Clock;
    readonly eventLog: EventLog;
}

/** A coordinator sends its state several times within this time. */
const silentMilliseconds = 1_300;
/**
 * Shorter time-out for a process that has never sent its state, because many may have ended when this process starts.
 */
const firstContactMilliseconds = 500;
/** After this many requests in a row without an answer in time, a coordinator gets no requests for a while. */
const timeoutsForSuspicion = 2;
const suspicionMilliseconds = 1_000;
/** The coordinator, and the standby that takes over from it. */
const coordinatorsPerGroup = 2;
const announcedCandidates = 4;

interface CoordinatorHealth {
    lastContactAt: number;
    /** Monotonic time of the first unanswered message to the process. */
    unansweredSince: number | undefined;
    isAnswering: boolean;
    processes: number | undefined;
    timeouts: number;
    suspectUntil: number;
}

export function createCoordinatorLink({ self, clock, eventLog }: CoordinatorLinkOptions): CoordinatorLink {
    const health = new Map<string, CoordinatorHealth>();
    let peers: readonly RegisteredPeer[] = [];
    let ranking: readonly RegisteredPeer[] = [];
    /**
     * The number of processes that a coordinator has last announced. A process that read the registry while others
     * started, and that has contact with a coordinator since, knows only some of them.
     */
    let announced = 0;
    let currentId: string | undefined;
    let isListed = false;

    const find = (peerId: string): CoordinatorHealth => {
        let known = health.get(peerId);
        if (!known) {
            known = {
                lastContactAt: -Infinity,
                unansweredSince: undefined,
                isAnswering: false,
                processes: undefined,
                timeouts: 0,
                suspectUntil: -Infinity,
            };
            health.set(peerId, known);
        }
        return known;
    };

    const isSelf = (peer: RegisteredPeer) => peer.peerId === self.peerId;

    const hasContactWith = (peer: RegisteredPeer) =>
        clock.monotonicNow() - find(peer.peerId).lastContactAt <= silentMilliseconds;

    const isSilent = (peer: RegisteredPeer) => {
        const { unansweredSince, lastContactAt } = find(peer.peerId);
        const timeout = lastContactAt > -Infinity ? silentMilliseconds : firstContactMilliseconds;
        return !hasContactWith(peer) && unansweredSince !== undefined
            && clock.monotonicNow() - unansweredSince > timeout;
    };

    const isAvailable = (peer: RegisteredPeer) => hasContactWith(peer) && find(peer.peerId).isAnswering;

    const acceptsRequests = (peer: RegisteredPeer) =>
        isAvailable(peer) && find(peer.peerId).suspectUntil <= clock.monotonicNow();

    const rank = () => {
        const processes = Math.max(announced, peers.length);
        ranking = rankCoordinators(selectGroup(peers, processes, self.availabilityZone));
    };

    const setPeers = (found: readonly RegisteredPeer[]) => {
        peers = [...found.filter(peer => !isSelf(peer)), self];
        rank();
    };

    /** Leaves the group of another zone, or joins the only group, when a coordinator announces that the fleet has changed. */
    const applyAnnounced = (processes: number) => {
        const hasChanged = hasZoneGroups(processes) !== hasZoneGroups(announced);
        announced = processes;
        if (hasChanged) {
            rank();
        }
    };

    const listReportReceivers = () => {
        const receivers: RegisteredPeer[] = [];
        // The number of receivers grows with each silent process, because many may have ended at once.
        let missing = coordinatorsPerGroup;
        for (const peer of ranking) {
            if (missing <= 0) {
                break;
            }
            missing += isSilent(peer) ? 1 : -1;
            if (!isSelf(peer)) {
                find(peer.peerId).unansweredSince ??= clock.monotonicNow();
                receivers.push(peer);
            }
        }
        return receivers;
    };

    const current = () => {
        const found = ranking.find(peer => isSelf(peer) || acceptsRequests(peer));
        if (found?.peerId !== currentId) {
            currentId = found?.peerId;
            eventLog.record(EventKind.CoordinatorChosen, { peer: currentId });
        }
        return found;
    };

    const isCandidate = () => {
        const ahead = ranking.filter(peer => isSelf(peer) || !isSilent(peer));
        return ahead.slice(0, coordinatorsPerGroup).some(isSelf);
    };

    const countListed = () => isListed ? peers.length : undefined;

    /** Candidates read the registry regularly. The others read it at their start, when it may still be incomplete. */
    const countProcesses = () => {
        const announced = ranking
            .filter(peer => !isSelf(peer) && hasContactWith(peer))
            .map(peer => find(peer.peerId).processes ?? 0);
        const most = Math.max(0, ...announced);
        if (most > 0 && !isCandidate()) {
            return most;
        }
        return countListed();
    };

    setPeers([]);
    return {
        setPeers: found => {
            isListed = true;
            announced = 0;
            setPeers(found);
        },
        addPeers: found => {
            isListed ||= found.length > 0;
            const known = new Set(peers.map(peer => peer.peerId));
            if (found.some(peer => !known.has(peer.peerId))) {
                setPeers([...peers, ...found.filter(peer => !known.has(peer.peerId))]);
            }
        },
        listReportReceivers,
        current,
        leader: () => ranking.find(peer => isSelf(peer) || isAvailable(peer)),
        listPeers: () => peers,
        find: peerId => peers.find(peer => peer.peerId === peerId),
        countProcesses,
        countListed,
        isSilent,
        hasContact: () => ranking.some(peer => !isSelf(peer) && hasContactWith(peer)),
        isFirst: () => ranking.find(peer => isSelf(peer) || hasContactWith(peer))?.peerId === self.peerId,
        isCandidate,
        listCandidates: () => ranking.slice(0, announcedCandidates),
        listOtherCandidates: () => {
            const own = new Set(ranking.map(peer => peer.peerId));
            const others = peers.filter(peer => !own.has(peer.peerId));
            const zones = new Set(others.map(peer => peer.availabilityZone));
            return [...zones].flatMap(zone =>
                rankCoordinators(others.filter(peer => peer.availabilityZone === zone)).slice(0, coordinatorsPerGroup)
            );
        },
        recordContact: (peerId, isAnswering, processes) => {
            const known = find(peerId);
            known.lastContactAt = clock.monotonicNow();
            known.unansweredSince = undefined;
            known.isAnswering = isAnswering;
            known.processes = processes;
            if (processes !== undefined) {
                applyAnnounced(processes);
            }
        },
        recordAnswer: peerId => {
            find(peerId).timeouts = 0;
        },
        recordTimeout: peerId => {
            const known = find(peerId);
            known.timeouts += 1;
            if (known.timeouts >= timeoutsForSuspicion) {
                known.timeouts = 0;
                known.suspectUntil = clock.monotonicNow() + suspicionMilliseconds;
            }
        },
    };
}

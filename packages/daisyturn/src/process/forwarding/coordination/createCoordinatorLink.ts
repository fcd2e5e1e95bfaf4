import { type Clock, EventKind, type EventLog } from "daisyturn-utils";
import type { RegisteredPeer } from "../../../ports/peerRegistry.js";
import { rankCoordinators, selectGroup } from "./rankCoordinators.js";

/** Which process coordinates this one's group, going by which of them are heard. */
export interface CoordinatorLink {
    /** Replaces the processes that are known. */
    setPeers(peers: readonly RegisteredPeer[]): void;
    /** Adds processes that a coordinator has named. */
    addPeers(peers: readonly RegisteredPeer[]): void;
    /** Those to be told what this process has under way: the first ones that answer, and those that may. */
    listReportReceivers(): readonly RegisteredPeer[];
    /** The process that places prompts for this one, which may be this one itself; undefined while none is known to. */
    current(): RegisteredPeer | undefined;
    /** A process that is known. */
    find(peerId: string): RegisteredPeer | undefined;
    /** Whether a process was told and has not answered. */
    isSilent(peer: RegisteredPeer): boolean;
    /** Whether any coordinator other than this process is heard. */
    hasContact(): boolean;
    /** Whether this process is one of the first two: the coordinator, or the one that takes over from it. */
    isCandidate(): boolean;
    /** The processes that come first in the group. */
    listCandidates(): readonly RegisteredPeer[];
    /** For each other group, the processes that come first in it. */
    listOtherCandidates(): readonly RegisteredPeer[];
    /** Notes a coordinator's word, and whether it may be asked. */
    recordContact(peerId: string, isAnswering: boolean): void;
    recordAnswer(peerId: string): void;
    /** Notes a question that was not answered in time. */
    recordTimeout(peerId: string): void;
}

/** What {@link createCoordinatorLink} needs. */
export interface CoordinatorLinkOptions {
    readonly self: RegisteredPeer;
    readonly clock: Clock;
    readonly eventLog: EventLog;
}

/** A coordinator tells of itself several times in this time. */
const silentMilliseconds = 1_300;
/** One that was never heard is given less: at a start many may be dead. */
const firstContactMilliseconds = 500;
/** A coordinator that lets questions time out is left alone for a while, and so is one that answers late. */
const timeoutsForSuspicion = 2;
const suspicionMilliseconds = 1_000;
const coordinatorsPerGroup = 2;
const announcedCandidates = 4;

interface CoordinatorHealth {
    lastContactAt: number;
    /** Monotonic time of the first message to it that it has not answered. */
    unansweredSince: number | undefined;
    isAnswering: boolean;
    timeouts: number;
    suspectUntil: number;
}

/** Creates the link of one process. */
export function createCoordinatorLink({ self, clock, eventLog }: CoordinatorLinkOptions): CoordinatorLink {
    const health = new Map<string, CoordinatorHealth>();
    let peers: readonly RegisteredPeer[] = [];
    let ranking: readonly RegisteredPeer[] = [];
    let currentId: string | undefined;

    const find = (peerId: string): CoordinatorHealth => {
        let known = health.get(peerId);
        if (!known) {
            known = {
                lastContactAt: -Infinity,
                unansweredSince: undefined,
                isAnswering: false,
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
        const patience = lastContactAt > -Infinity ? silentMilliseconds : firstContactMilliseconds;
        return !hasContactWith(peer) && unansweredSince !== undefined
            && clock.monotonicNow() - unansweredSince > patience;
    };

    const acceptsRequests = (peer: RegisteredPeer) => {
        const { isAnswering, suspectUntil } = find(peer.peerId);
        return hasContactWith(peer) && isAnswering && suspectUntil <= clock.monotonicNow();
    };

    const setPeers = (found: readonly RegisteredPeer[]) => {
        peers = [...found.filter(peer => !isSelf(peer)), self];
        ranking = rankCoordinators(selectGroup(peers, self.availabilityZone));
    };

    const listReportReceivers = () => {
        const receivers: RegisteredPeer[] = [];
        // Twice as many are tried once those before them are silent: many may have ended at once.
        let wanted = coordinatorsPerGroup;
        for (const peer of ranking) {
            if (wanted <= 0) {
                break;
            }
            wanted += isSilent(peer) ? 1 : -1;
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

    setPeers([]);
    return {
        setPeers,
        addPeers: found => {
            const known = new Set(peers.map(peer => peer.peerId));
            if (found.some(peer => !known.has(peer.peerId))) {
                setPeers([...peers, ...found.filter(peer => !known.has(peer.peerId))]);
            }
        },
        listReportReceivers,
        current,
        find: peerId => peers.find(peer => peer.peerId === peerId),
        isSilent,
        hasContact: () => ranking.some(peer => !isSelf(peer) && hasContactWith(peer)),
        isCandidate: () => {
            const ahead = ranking.filter(peer => isSelf(peer) || !isSilent(peer));
            return ahead.slice(0, coordinatorsPerGroup).some(isSelf);
        },
        listCandidates: () => ranking.slice(0, announcedCandidates),
        listOtherCandidates: () => {
            const own = new Set(ranking.map(peer => peer.peerId));
            const others = peers.filter(peer => !own.has(peer.peerId));
            const zones = new Set(others.map(peer => peer.availabilityZone));
            return [...zones].flatMap(zone =>
                rankCoordinators(others.filter(peer => peer.availabilityZone === zone)).slice(0, coordinatorsPerGroup)
            );
        },
        recordContact: (peerId, isAnswering) => {
            const known = find(peerId);
            known.lastContactAt = clock.monotonicNow();
            known.unansweredSince = undefined;
            known.isAnswering = isAnswering;
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

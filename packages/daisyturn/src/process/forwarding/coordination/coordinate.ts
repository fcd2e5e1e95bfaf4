import type { Clock, EventLog, Random } from "daisyturn-utils";
import type { ListedTarget } from "../../../ports/listedTarget.js";
import type { PeerRegistry, RegisteredPeer } from "../../../ports/peerRegistry.js";
import type { ForwardService } from "../../../version/forwarding/forwardingConfiguration.js";
import type { CrashEvidence } from "../../crashes/index.js";
import type { StreamOrigins, VersionHistory } from "../../origins/index.js";
import { createGroupSizes } from "../fleet/createGroupSizes.js";
import { knowsFleet } from "../fleet/knowsFleet.js";
import type { SizeFairness } from "../limits/createSizeFairness.js";
import { createExpiringSet } from "../links/createExpiringSet.js";
import type { DecisionRequest, PromptDecision, PromptDecisions } from "../placement/decidePrompt.js";
import type { WindowedRetryBudget } from "../retries/createWindowedRetryBudget.js";
import type { TargetViews } from "../views/createTargetViews.js";
import { CoordinatedDecisions, recordRetained } from "./coordinatedDecisions.js";
import { createCoordinatorLink } from "./createCoordinatorLink.js";
import { createEvidencePublisher } from "./createEvidencePublisher.js";
import { createGroupLoadPublisher, groupReportMilliseconds } from "./createGroupLoadPublisher.js";
import { createLoadPublisher } from "./createLoadPublisher.js";
import { createMembers } from "./createMembers.js";
import { createPlacementClient } from "./createPlacementClient.js";
import { createPlacementServer } from "./createPlacementServer.js";
import { createRelayedTables, type RelayedTable } from "./createRelayedTables.js";
import { createStatePublisher } from "./createStatePublisher.js";
import { createTableReader, type TableReader } from "./createTableReader.js";
import { createFleetElection, type FleetElection } from "./election/createFleetElection.js";
import { createNotificationHandler } from "./exchange/createNotificationHandler.js";
import type { NotificationReceiver, PeerExchange } from "./exchange/peerExchange.js";
import { parseNotification } from "./messages/notification.js";
import { createOriginPublisher, type OriginPublisher } from "./origins/createOriginPublisher.js";
import type { DatagramChannel, PeerAddress } from "./peerChannel.js";
import { createRetryLeases, type RetryLeases } from "./retries/createRetryLeases.js";
import { createRoomQuery, type RoomQuery } from "./room/createRoomQuery.js";
import { createRefreshRequest, watchPeers } from "./watchPeers.js";

/** What {@link coordinate} needs. */
export interface CoordinationOptions {
    readonly self: RegisteredPeer;
    readonly registry: PeerRegistry;
    readonly channel: DatagramChannel;
    readonly views: TargetViews;
    readonly sizeFairness: SizeFairness;
    readonly crashEvidence: CrashEvidence;
    readonly origins: StreamOrigins;
    readonly versions: VersionHistory;
    readonly budget: Pick<WindowedRetryBudget, "lend" | "addLease">;
    readonly random: Random;
    /** Decides with the information of this process alone. */
    readonly decideLocally: (request: DecisionRequest) => PromptDecision | undefined;
    readonly findService: (name: string) => ForwardService | undefined;
    /**
     * A coordinator's state report of a table is used for up to this time after the store last answered the
     * coordinator.
     */
    readonly maxStateAgeMilliseconds: () => number;
    /** Fraction of the time in which this process is busy, from 0 to 1. */
    readonly utilization: () => number;
    readonly clock: Clock;
    readonly eventLog: EventLog;
}

/**
 * Participation of a process in its group, in which one process places prompts and reads the store's tables for all.
 */
export interface Coordination extends FleetElection {
    /** For parts that have messages of their own. */
    readonly peers: PeerExchange;
    readonly decisions: PromptDecisions;
    /** Finds which targets may continue a stream, by asking other processes if this one does not know. */
    readonly findOrigin: OriginPublisher["find"];
    /** Asks other processes to lease repeats of the retry budget to this one. */
    readonly requestRetryLease: RetryLeases["request"];
    /** Whether another process can take more connections, as far as it has said a moment ago. */
    readonly hasRoomElsewhere: RoomQuery["hasRoomElsewhere"];
    /** Number of processes in the fleet; undefined while this process has not read the registry. */
    countProcesses(): number | undefined;
    /** Returns a table as relayed by coordinators. */
    relayedTable(name: string): RelayedTable;
    /** Receives what this process reads from the store itself, to relay it to the processes that it coordinates. */
    readonly tableReader: TableReader;
    /**
     * Whether other processes rely on what this process reads from the store: it is the coordinator of its group, or the
     * standby, which reads the store when the coordinator's reports of the tables grow old.
     */
    isReader(): boolean;
    /** Whether the reports that this process receives cover the whole fleet. */
    knowsFleet(): boolean;
    /** Maximum interval between two messages to any coordinator while an engine is closed, in milliseconds. */
    closingReportInterval(): number;
    /** Whether this process places prompts for its group, according to its own information. */
    isCoordinator(): boolean;
    run(signal: AbortSignal): void;
    /** Lists all known processes, including this one. */
    listPeers(): readonly RegisteredPeer[];
    /** Whether a process of the fleet is known at a host. If not, the registry is read again. */
    isRegistered(host: string): boolean;
    /** Requests that the registry be read again, at most every few seconds. */
    refreshPeers(): void;
    /** Requests that this process's registry entry be rewritten because the store may have lost it. */
    refreshEntry(): void;
    /** Informs the group that this process no longer accepts placement requests. */
    stopAnswering(): void;
}

/** A coordinator of another group that has not sent a message for this time is presumed ended. */
const otherCoordinatorMilliseconds = 2_500;

/** Creates the participation of one process in its group. Nothing is sent before `run` is called. */
export function coordinate(options: CoordinationOptions): Coordination {
    const { self, channel, views, sizeFairness, crashEvidence, clock, eventLog, maxStateAgeMilliseconds } = options;
    const { loads, caches, closed, targets } = views;
    const send = (to: PeerAddress, datagram: Buffer) => channel.send(to, datagram);
    const link = createCoordinatorLink({ self, clock, eventLog });
    const members = createMembers(clock);
    const reader = createTableReader(clock);
    const tables = createRelayedTables({
        clock,
        maxStateAgeMilliseconds,
        isReader: () => link.countListed() !== undefined && link.isCandidate() && link.isFirst(),
        isStandby: link.isCandidate,
    });
    const client = createPlacementClient({ selfId: self.peerId, send, link, clock });
    const shared = { selfId: self.peerId, link, evidence: crashEvidence, send, clock };
    const loadPublisher = createLoadPublisher({ ...shared, views, sizeFairness, lastReceived: client.lastReceived });
    const groupLoadPublisher = createGroupLoadPublisher({ ...shared, views, members, reader });
    const evidencePublisher = createEvidencePublisher({ ...shared, members });
    const { links, speeds } = views;
    const statePublisher = createStatePublisher({
        ...shared,
        members,
        reader,
        closed,
        links,
        speeds,
        maxStateAgeMilliseconds,
    });
    /** Coordinators of other groups, and those of this group whose links to most targets are lost. */
    const otherCoordinators = createExpiringSet(clock, otherCoordinatorMilliseconds);
    const groupSizes = createGroupSizes(clock, otherCoordinatorMilliseconds);
    const cutOffCoordinators = createExpiringSet(clock, otherCoordinatorMilliseconds);
    const storelessCoordinators = createExpiringSet(clock, otherCoordinatorMilliseconds);
    const election = createFleetElection({
        selfId: self.peerId,
        link,
        links,
        reader,
        otherCoordinators,
        storelessCoordinators,
        cutOffCoordinators,
    });

    const { refreshRequest, refreshPeers, refreshEntry } = createRefreshRequest(clock);

    const exchange = { self, listPeers: link.listPeers, refreshPeers, send, clock };
    const originPublisher = createOriginPublisher({
        ...exchange,
        origins: options.origins,
        versions: options.versions,
    });

    /** The contents of the store are accepted only from processes in its registry, at their registered address. */
    const isRegistered = (peerId: string, { host }: PeerAddress) => link.find(peerId)?.host === host;

    /** Processes that joined later may be known only by their load reports. */
    const isKnownPeer = (peerId: string, from: PeerAddress) =>
        isRegistered(peerId, from) || members.has(peerId, from.host);

    const { budget, random } = options;
    const retryLeases = createRetryLeases({ ...exchange, budget, random, isRegistered: isKnownPeer });

    const roomQuery = createRoomQuery({ ...options, ...exchange, isRegistered: isKnownPeer });

    const placementServer = createPlacementServer({
        coordinatorId: self.peerId,
        decide: request => {
            const decision = options.decideLocally(request);
            recordRetained(caches, request, decision);
            return decision;
        },
        findService: options.findService,
        loads,
        sizeFairness,
        clock,
    });

    const decisions = new CoordinatedDecisions({
        selfId: self.peerId,
        link,
        client,
        decideLocally: options.decideLocally,
        caches,
        findTarget: targets.find,
        listDistrusted: (service, isResumption) => listDistrusted(views, service, isResumption),
    });

    const receivers: NotificationReceiver[] = [originPublisher.receive, retryLeases.receive, roomQuery.receive];
    const handleNotification = createNotificationHandler({
        selfId: self.peerId,
        views,
        sizeFairness,
        link,
        members,
        tables,
        client,
        placementServer,
        evidencePublisher,
        statePublisher,
        otherCoordinators,
        groupSizes,
        cutOffCoordinators,
        storelessCoordinators,
        isRegistered,
        isKnownPeer,
        receivers,
        send,
    });

    const listGroupCoordinators = () => [...(link.isCandidate() ? [self] : []), ...link.listReportReceivers()];

    const isCoordinator = () => link.current()?.peerId === self.peerId;

    channel.onDatagram((datagram, from) => {
        const notification = parseNotification(datagram);
        if (notification) {
            handleNotification(notification, from);
        }
    });

    return {
        peers: {
            self,
            listPeers: link.listPeers,
            listGroupCoordinators,
            listCoordinators: () => [
                // The first in a ranking may have ended, long before their entries are removed.
                ...new Set([
                    ...listGroupCoordinators(),
                    ...link.listOtherCandidates(),
                    ...otherCoordinators.list().flatMap(peerId => link.find(peerId) ?? []),
                ]),
            ],
            isKnown: isKnownPeer,
            send,
            addReceiver: receiver => void receivers.push(receiver),
        },
        decisions,
        findOrigin: originPublisher.find,
        requestRetryLease: retryLeases.request,
        hasRoomElsewhere: roomQuery.hasRoomElsewhere,
        countProcesses: link.countProcesses,
        relayedTable: tables.find,
        tableReader: reader,
        isReader: link.isCandidate,
        knowsFleet: () => knowsFleet({ link, members, otherCoordinators, groupSizes }),
        closingReportInterval: () => groupReportMilliseconds,
        isCoordinator,
        ...election,
        run: signal => {
            void watchPeers({ self, registry: options.registry, link, refreshRequest, clock, eventLog }, signal);
            void loadPublisher.run(signal);
            void groupLoadPublisher.run(signal);
            void statePublisher.run(signal);
            void evidencePublisher.run(signal);
        },
        listPeers: link.listPeers,
        isRegistered: host => {
            const isKnown = link.listPeers().some(peer => peer.host === host) || members.hasHost(host);
            if (!isKnown) {
                refreshPeers();
            }
            return isKnown;
        },
        refreshPeers,
        refreshEntry,
        stopAnswering: () => {
            statePublisher.stopAnswering();
            originPublisher.handOver();
        },
    };
}

/** Lists the targets of a service that take no work of this process or are not trusted. The coordinator may not know. */
function listDistrusted(
    { targets, availability, continuity, health }: TargetViews,
    service: string,
    isResumption: boolean,
): readonly string[] {
    const trusted: ReadonlySet<ListedTarget> = new Set(health.selectTrusted(targets.open(service)));
    const isUsable = (target: ListedTarget) =>
        trusted.has(target) && availability.check(target.targetId) === undefined
        && (!isResumption || continuity.isConfirmed(target.targetId));
    return targets.list(service).filter(target => !isUsable(target)).map(target => target.targetId);
}

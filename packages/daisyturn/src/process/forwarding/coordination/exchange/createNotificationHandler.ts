import type { GroupSizes } from "../../fleet/createGroupSizes.js";
import type { SizeFairness } from "../../limits/createSizeFairness.js";
import type { ExpiringSet } from "../../links/createExpiringSet.js";
import type { TargetViews } from "../../views/createTargetViews.js";
import type { CoordinatorLink } from "../createCoordinatorLink.js";
import type { EvidencePublisher } from "../createEvidencePublisher.js";
import type { Members } from "../createMembers.js";
import type { PlacementClient } from "../createPlacementClient.js";
import type { PlacementServer } from "../createPlacementServer.js";
import type { RelayedTables } from "../createRelayedTables.js";
import type { StatePublisher } from "../createStatePublisher.js";
import { readEvidence } from "../messages/evidenceMessage.js";
import { type LoadMessage, readLoadMessage } from "../messages/loadMessage.js";
import { encodePlacementAnswer, readPlacementAnswer, readPlacementRequest } from "../messages/placementMessages.js";
import { type CoordinatorState, readCoordinatorState, readRowsMessage } from "../messages/tableMessages.js";
import type { PeerAddress } from "../peerChannel.js";
import type { NotificationReceiver } from "./peerExchange.js";

/** What {@link createNotificationHandler} needs. */
export interface NotificationHandlerOptions {
    readonly selfId: string;
    readonly views: TargetViews;
    readonly sizeFairness: SizeFairness;
    readonly link: CoordinatorLink;
    readonly members: Members;
    readonly tables: RelayedTables;
    readonly client: PlacementClient;
    readonly placementServer: PlacementServer;
    readonly evidencePublisher: EvidencePublisher;
    readonly statePublisher: StatePublisher;
    /** Coordinators of other groups, and those of this group whose links to most targets are lost. */
    readonly otherCoordinators: ExpiringSet;
    /** How many processes the reports of other groups cover. */
    readonly groupSizes: GroupSizes;
    readonly cutOffCoordinators: ExpiringSet;
    /** Coordinators of other groups that the store does not answer. */
    readonly storelessCoordinators: ExpiringSet;
    /** Whether a process is in the registry at this address. */
    readonly isRegistered: (peerId: string, from: PeerAddress) => boolean;
    /** Whether a process is in the registry or reports to this one. */
    readonly isKnownPeer: (peerId: string, from: PeerAddress) => boolean;
    /** Called first with each notification; parts that have messages of their own add themselves. */
    readonly receivers: readonly NotificationReceiver[];
    readonly send: (to: PeerAddress, datagram: Buffer) => void;
}

/** Creates the function that applies the notifications of other processes to the views of this one. */
export function createNotificationHandler(options: NotificationHandlerOptions): NotificationReceiver {
    const { selfId, views, sizeFairness, link, members, tables, client, placementServer, send } = options;
    const { evidencePublisher, statePublisher, otherCoordinators, groupSizes, cutOffCoordinators, receivers } = options;
    const { storelessCoordinators, isRegistered, isKnownPeer } = options;
    const {
        loads,
        caches,
        demand,
        leastDemand,
        firstReads,
        closed,
        slowdowns,
        prefillRates,
        eventIntervals,
        health,
        speeds,
    } = views;

    const applyLoad = (message: LoadMessage, from: PeerAddress) => {
        evidencePublisher.compareDigest(message.from, from, message.evidence);
        closed.applyRemote(message.closed);
        health.recordFailing(message.failing, message.isGroup);
        message.kept.forEach(([targetId, partId, tokens]) => caches.recordRemote(targetId, partId, tokens));
        if (message.isGroup) {
            recordPresence(otherCoordinators, message.from, message.isCutOff !== true);
            recordPresence(storelessCoordinators, message.from, message.isStoreLost === true);
            groupSizes.record(message.from, message.reporting);
            loads.recordGroup(message.from, message.work, message.pause);
            demand.recordGroup(message.from, message.demand, message.pause);
            leastDemand.recordGroup(message.from, message.leastDemand ?? [], message.pause);
            firstReads.recordGroup(message.from, message.firstReads ?? [], message.pause);
            speeds.recordEstimates(message.from, message.groupSpeeds);
            return;
        }
        placementServer.acknowledge(message.from, message.placed);
        loads.recordPeer(message.from, message.work, message.pause);
        demand.recordPeer(message.from, message.demand, message.pause);
        leastDemand.recordPeer(message.from, message.leastDemand ?? [], message.pause);
        firstReads.recordPeer(message.from, message.firstReads ?? [], message.pause);
        message.paces.forEach(slowdowns.recordRemote);
        message.prefills.forEach(prefillRates.recordRemote);
        message.pauses.forEach(eventIntervals.recordRemote);
        message.speeds.forEach(speeds.recordSample);
        message.ended.forEach(sizeFairness.recordRemote);
        if (members.record(message.from, from)) {
            // A process that has just started or lost its coordinator immediately learns that this one is reachable.
            statePublisher.publishTo(from);
        }
    };

    const applyState = (state: CoordinatorState, from: PeerAddress) => {
        evidencePublisher.compareDigest(state.from, from, state.evidence);
        link.recordContact(state.from, state.isAnswering, state.processes);
        recordPresence(cutOffCoordinators, state.from, state.isCutOff === true);
        link.addPeers(state.candidates);
        closed.applyRemote(state.closed);
        tables.applyState(state);
        speeds.recordEstimates(state.from, state.speeds);
    };

    return (notification, from) => {
        receivers.forEach(receive => receive(notification, from));
        const request = readPlacementRequest(notification);
        const answer = readPlacementAnswer(notification);
        const load = readLoadMessage(notification);
        const state = readCoordinatorState(notification);
        const rows = readRowsMessage(notification);
        const evidence = readEvidence(notification);
        if (request) {
            send(from, encodePlacementAnswer(placementServer.answer(request)));
        }
        if (answer) {
            client.receiveAnswer(answer);
        }
        if (load && load.from !== selfId) {
            applyLoad(load, from);
        }
        if (state && isRegistered(state.from, from)) {
            applyState(state, from);
        }
        if (rows && isRegistered(rows.from, from)) {
            tables.applyRows(rows);
        }
        if (evidence && isKnownPeer(evidence.from, from)) {
            evidencePublisher.receive(evidence, from);
        }
    };
}

function recordPresence(present: ExpiringSet, peerId: string, isPresent: boolean): void {
    if (isPresent) {
        present.add(peerId);
    }
    else {
        present.delete(peerId);
    }
}

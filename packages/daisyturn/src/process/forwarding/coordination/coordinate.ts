import { type Clock, createSignal, type EventLog } from "daisyturn-utils";
import type { ListedTarget } from "../../../ports/listedTarget.js";
import type { PeerRegistry, RegisteredPeer } from "../../../ports/peerRegistry.js";
import type { ForwardService } from "../../../version/forwarding/forwardingConfiguration.js";
import type { SizeFairness } from "../limits/createSizeFairness.js";
import type { DecisionRequest, PromptDecision, PromptDecisions } from "../placement/decidePrompt.js";
import type { TargetViews } from "../views/createTargetViews.js";
import { CoordinatedDecisions, noteKept } from "./coordinatedDecisions.js";
import { createCoordinatorLink } from "./createCoordinatorLink.js";
import { createGroupTeller, groupMilliseconds } from "./createGroupTeller.js";
import { createLoadTeller } from "./createLoadTeller.js";
import { createMembers } from "./createMembers.js";
import { createPlacementClient } from "./createPlacementClient.js";
import { createPlacementDesk } from "./createPlacementDesk.js";
import { createRelayedTables, type RelayedTable } from "./createRelayedTables.js";
import { createStateTeller } from "./createStateTeller.js";
import { createTableReader, type TableReader } from "./createTableReader.js";
import { type EntryRefreshRequest, followPeers } from "./followPeers.js";
import { type LoadMessage, readLoadMessage } from "./messages/loadMessage.js";
import { type Notification, parseNotification } from "./messages/notification.js";
import { encodePlacementAnswer, readPlacementAnswer, readPlacementAsk } from "./messages/placementMessages.js";
import { type CoordinatorState, readCoordinatorState, readRowsMessage } from "./messages/tableMessages.js";
import type { DatagramChannel, PeerAddress } from "./peerChannel.js";

/** What {@link coordinate} needs. */
export interface CoordinationOptions {
    readonly self: RegisteredPeer;
    readonly registry: PeerRegistry;
    readonly channel: DatagramChannel;
    readonly views: TargetViews;
    readonly sizeFairness: SizeFairness;
    /** Decides by what this process knows. */
    readonly decideHere: (request: DecisionRequest) => PromptDecision | undefined;
    readonly findService: (name: string) => ForwardService | undefined;
    /** Longest time since the store has answered a coordinator for which its word on a table holds, in milliseconds. */
    readonly freshMilliseconds: () => number;
    readonly clock: Clock;
    readonly eventLog: EventLog;
}

/** The part of a process in its group: one process places prompts for all, and reads the store's tables for them. */
export interface Coordination {
    readonly decisions: PromptDecisions;
    /** A table as coordinators pass it on. */
    relayedTable(name: string): RelayedTable;
    /** Takes what this process reads from the store itself, for those that it coordinates. */
    readonly tableReader: TableReader;
    /** Whether this process is to read the store itself, since others go by its word. */
    isReader(): boolean;
    /** Longest pause between two messages to any coordinator while an engine is kept closed, in milliseconds. */
    closingPause(): number;
    /** Whether this process places prompts for its group, as far as it knows. */
    isCoordinator(): boolean;
    /** Whether this process coordinates its group, and no coordinator of another one has a name that sorts before its own. */
    isFirst(): boolean;
    run(signal: AbortSignal): void;
    /** Requests that this process's registry entry be rewritten because the store may have lost it. */
    refreshEntry(): void;
    /** Tells the group to ask another process from now on. */
    stopAnswering(): void;
}

/** A coordinator of another group that was not heard for so long has ended. */
const heardMilliseconds = 2_500;

/** Creates the part of one process in its group. Nothing is sent before it runs. */
export function coordinate(options: CoordinationOptions): Coordination {
    const { self, channel, views, sizeFairness, clock, eventLog, freshMilliseconds } = options;
    const { loads, caches, demand, closed, slowdowns, prefillRates, eventIntervals, targets, health } = views;
    const send = (to: PeerAddress, datagram: Buffer) => channel.send(to, datagram);
    const link = createCoordinatorLink({ self, clock, eventLog });
    const members = createMembers(clock);
    const reader = createTableReader(clock);
    const tables = createRelayedTables({ clock, freshMilliseconds, isReader: link.isCandidate });
    const client = createPlacementClient({ selfId: self.peerId, send, link, clock });
    const loadTeller = createLoadTeller({
        selfId: self.peerId,
        views,
        sizeFairness,
        link,
        lastTaken: client.lastTaken,
        send,
        clock,
    });
    const groupTeller = createGroupTeller({ selfId: self.peerId, views, link, send, clock });
    const stateTeller = createStateTeller({
        selfId: self.peerId,
        members,
        link,
        reader,
        closed,
        freshMilliseconds,
        send,
        clock,
    });
    /** When each coordinator of another group was last heard. */
    const otherCoordinators = new Map<string, number>();

    const refreshRequest: EntryRefreshRequest = { requested: createSignal(), isPending: false };

    const desk = createPlacementDesk({
        coordinatorId: self.peerId,
        decide: request => {
            const decision = options.decideHere(request);
            noteKept(caches, request, decision);
            return decision;
        },
        findService: options.findService,
        loads,
        sizeFairness,
        clock,
    });

    const listDistrusted = (service: string): readonly string[] => {
        const open: readonly ListedTarget[] = targets.open(service);
        const trusted = new Set(health.selectTrusted(open));
        return open.filter(target => !trusted.has(target)).map(target => target.targetId);
    };

    const decisions = new CoordinatedDecisions({
        selfId: self.peerId,
        link,
        client,
        decideHere: options.decideHere,
        caches,
        findTarget: targets.find,
        listDistrusted,
    });

    const takeLoad = (message: LoadMessage, from: PeerAddress) => {
        closed.applyRemote(message.closed);
        health.recordFailing(message.failing, message.isGroup);
        message.kept.forEach(([targetId, partId, tokens]) => caches.recordRemote(targetId, partId, tokens));
        if (message.isGroup) {
            otherCoordinators.set(message.from, clock.monotonicNow());
            loads.recordGroup(message.from, message.work, message.pause);
            demand.recordGroup(message.from, message.demand, message.pause);
            return;
        }
        desk.noteTaken(message.from, message.placed);
        loads.recordPeer(message.from, message.work, message.pause);
        demand.recordPeer(message.from, message.demand, message.pause);
        message.paces.forEach(slowdowns.recordRemote);
        message.prefills.forEach(prefillRates.recordRemote);
        message.pauses.forEach(eventIntervals.recordRemote);
        message.ended.forEach(sizeFairness.recordRemote);
        if (members.note(message.from, from)) {
            // A process that has just started, or lost its coordinator, learns at once that this one is there.
            stateTeller.tell(from);
        }
    };

    const applyState = (state: CoordinatorState) => {
        link.noteHeard(state.from, state.isAnswering);
        link.addPeers(state.candidates);
        closed.applyRemote(state.closed);
        tables.noteState(state);
    };

    /** What the store says is taken from processes that are registered there, at their own address. */
    const isRegistered = (peerId: string, { host }: PeerAddress) => link.find(peerId)?.host === host;

    const take = (notification: Notification, from: PeerAddress) => {
        const ask = readPlacementAsk(notification);
        const answer = readPlacementAnswer(notification);
        const load = readLoadMessage(notification);
        const state = readCoordinatorState(notification);
        const rows = readRowsMessage(notification);
        if (ask) {
            send(from, encodePlacementAnswer(desk.answer(ask)));
        }
        if (answer) {
            client.noteAnswer(answer);
        }
        if (load && load.from !== self.peerId) {
            takeLoad(load, from);
        }
        if (state && isRegistered(state.from, from)) {
            applyState(state);
        }
        if (rows && isRegistered(rows.from, from)) {
            tables.noteRows(rows);
        }
    };

    const isCoordinator = () => link.current()?.peerId === self.peerId;

    channel.onDatagram((datagram, from) => {
        const notification = parseNotification(datagram);
        if (notification) {
            take(notification, from);
        }
    });

    return {
        decisions,
        relayedTable: tables.find,
        tableReader: reader,
        isReader: link.isCandidate,
        closingPause: () => groupMilliseconds,
        isCoordinator,
        isFirst: () => {
            const oldest = clock.monotonicNow() - heardMilliseconds;
            return isCoordinator()
                && [...otherCoordinators].every(([peerId, at]) => at < oldest || peerId > self.peerId);
        },
        run: signal => {
            void followPeers({ self, registry: options.registry, link, refreshRequest, clock, eventLog }, signal);
            void loadTeller.run(signal);
            void groupTeller.run(signal);
            void stateTeller.run(signal);
        },
        refreshEntry: () => {
            refreshRequest.isPending = true;
            refreshRequest.requested.raise();
        },
        stopAnswering: stateTeller.stopAnswering,
    };
}

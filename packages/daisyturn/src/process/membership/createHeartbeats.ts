import { type Clock, EventKind, type EventLog, type JsonObject, toJson } from "daisyturn-utils";
import { type DigestCarrier, MemberState, PeerMethod, type PeerNetwork, type ProcessIdentity } from "../peers/index.js";
import type { MemberDirectory } from "./createMemberDirectory.js";
import type { MemberRecord, MemberTable } from "./createMemberTable.js";
import {
    EndProof,
    FalseSuspicion,
    type HeartbeatMessage,
    heartbeatSchema,
    type MemberEntry,
} from "./heartbeatMessage.js";
import type { MembershipTiming } from "./membershipTiming.js";

/** Told that others have misjudged this process, for instance while it was paused. */
export type FalseSuspicionListener = (misjudgement: FalseSuspicion, by: ProcessIdentity) => void;

export interface HeartbeatsOptions {
    readonly network: PeerNetwork;
    readonly table: MemberTable;
    readonly directory: MemberDirectory;
    readonly digests: DigestCarrier;
    readonly clock: Clock;
    readonly timing: MembershipTiming;
    readonly eventLog: EventLog;
}

/** What goes to and comes from members with heartbeats. */
export interface Heartbeats {
    send(record: MemberRecord): void;
    take(from: ProcessIdentity, parameters: JsonObject): void;
    isPresumedEnded(): boolean;
    onFalselySuspected(listener: FalseSuspicionListener): void;
}

export function createHeartbeats(options: HeartbeatsOptions): Heartbeats {
    const { network, table, directory, digests, clock, timing, eventLog } = options;
    const misjudgedListeners: FalseSuspicionListener[] = [];
    let membersToldAt = Number.NEGATIVE_INFINITY;
    let isPresumedEnded = false;

    const send = (record: MemberRecord) => {
        const { processId, incarnation } = record.identity;
        const message: HeartbeatMessage = {
            view: table.view(),
            misjudged: record.misjudgement && { incarnation, as: record.misjudgement },
            members: chooseMembersToTell(record),
            digests: digests.collectFor(processId),
        };
        record.misjudgement = undefined;
        network.notify(processId, PeerMethod.Heartbeat, toJson(message));
    };

    /** One process is told all members in each interval at most; the others hear it from each other. */
    const chooseMembersToTell = (record: MemberRecord): MemberEntry[] | undefined => {
        const now = clock.monotonicNow();
        if (!record.viewDiffers || now < membersToldAt + timing.heartbeatInterval) {
            return undefined;
        }
        membersToldAt = now;
        return [...table.entries(), ...directory.recentEnds()];
    };

    const take = (from: ProcessIdentity, parameters: JsonObject) => {
        const record = directory.noteHeard(from);
        const message = heartbeatSchema.safeParse(parameters).data;
        if (message?.misjudged?.incarnation === network.self.incarnation) {
            takeMisjudgement(message.misjudged.as, from);
        }
        if (!record) {
            tellEnded(from);
            return;
        }
        message?.members?.forEach(entry => takeEntry(entry, from));
        record.viewDiffers = message?.view !== table.view();
        digests.receive(from, (message?.digests ?? {}) as Record<string, JsonObject>);
    };

    /** A run that is proved to have ended and still speaks must learn that others may act in its place. */
    const tellEnded = (from: ProcessIdentity) => {
        if (directory.hasEnded(from) && table.find(from.processId)?.state !== MemberState.Left) {
            const misjudged = { incarnation: from.incarnation, as: FalseSuspicion.Ended };
            const message: HeartbeatMessage = { view: table.view(), misjudged };
            network.notify(from.processId, PeerMethod.Heartbeat, toJson(message));
        }
    };

    const takeMisjudgement = (misjudgement: FalseSuspicion, from: ProcessIdentity) => {
        if (misjudgement === FalseSuspicion.Ended && isPresumedEnded) {
            return;
        }
        isPresumedEnded ||= misjudgement === FalseSuspicion.Ended;
        eventLog.record(EventKind.Misjudged, { peer: from.processId, reason: misjudgement });
        misjudgedListeners.forEach(listener => listener(misjudgement, from));
    };

    const takeEntry = ({ identity, ended }: MemberEntry, from: ProcessIdentity) => {
        if (identity.processId === network.self.processId) {
            takeEntryOnSelf(identity, ended, from);
        }
        else if (ended) {
            directory.prove(identity, ended);
        }
        else {
            directory.learn(identity);
        }
    };

    const takeEntryOnSelf = (identity: ProcessIdentity, ended: EndProof | undefined, from: ProcessIdentity) => {
        const { incarnation } = network.self;
        if (identity.incarnation > incarnation || ended && identity.incarnation === incarnation) {
            takeMisjudgement(FalseSuspicion.Ended, from);
        }
    };

    return {
        send,
        take,
        isPresumedEnded: () => isPresumedEnded,
        onFalselySuspected: listener => void misjudgedListeners.push(listener),
    };
}

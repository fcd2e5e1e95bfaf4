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

/** Called when another process has falsely suspected this one, for example while it was paused. */
export type FalseSuspicionListener = (falseSuspicion: FalseSuspicion, by: ProcessIdentity) => void;

export interface HeartbeatsOptions {
    readonly network: PeerNetwork;
    readonly table: MemberTable;
    readonly directory: MemberDirectory;
    readonly digests: DigestCarrier;
    readonly clock: Clock;
    readonly timing: MembershipTiming;
    readonly eventLog: EventLog;
}

/** Sends heartbeats to members and processes those received from them. */
export interface Heartbeats {
    send(record: MemberRecord): void;
    receive(from: ProcessIdentity, parameters: JsonObject): void;
    isPresumedEnded(): boolean;
    onFalselySuspected(listener: FalseSuspicionListener): void;
}

export function createHeartbeats(options: HeartbeatsOptions): Heartbeats {
    const { network, table, directory, digests, clock, timing, eventLog } = options;
    const falseSuspicionListeners: FalseSuspicionListener[] = [];
    let membersSentAt = Number.NEGATIVE_INFINITY;
    let isPresumedEnded = false;

    const send = (record: MemberRecord) => {
        const { processId, incarnation } = record.identity;
        const message: HeartbeatMessage = {
            view: table.view(),
            misjudged: record.falseSuspicion && { incarnation, as: record.falseSuspicion },
            members: chooseMembersToSend(record),
            digests: digests.collectFor(processId),
        };
        record.falseSuspicion = undefined;
        network.notify(processId, PeerMethod.Heartbeat, toJson(message));
    };

    /** Returns the member list for at most one process in each interval; the others receive it from each other. */
    const chooseMembersToSend = (record: MemberRecord): MemberEntry[] | undefined => {
        const now = clock.monotonicNow();
        if (!record.viewDiffers || now < membersSentAt + timing.heartbeatInterval) {
            return undefined;
        }
        membersSentAt = now;
        return [...table.entries(), ...directory.recentEnds()];
    };

    const receive = (from: ProcessIdentity, parameters: JsonObject) => {
        const record = directory.recordContact(from);
        const message = heartbeatSchema.safeParse(parameters).data;
        if (message?.misjudged?.incarnation === network.self.incarnation) {
            applyFalseSuspicion(message.misjudged.as, from);
        }
        if (!record) {
            notifyEnded(from);
            return;
        }
        message?.members?.forEach(entry => applyEntry(entry, from));
        record.viewDiffers = message?.view !== table.view();
        digests.receive(from, (message?.digests ?? {}) as Record<string, JsonObject>);
    };

    /** Notifies an incarnation that is proved to have ended but still sends: others may already act in its place. */
    const notifyEnded = (from: ProcessIdentity) => {
        if (directory.hasEnded(from) && table.find(from.processId)?.state !== MemberState.Left) {
            const misjudged = { incarnation: from.incarnation, as: FalseSuspicion.Ended };
            const message: HeartbeatMessage = { view: table.view(), misjudged };
            network.notify(from.processId, PeerMethod.Heartbeat, toJson(message));
        }
    };

    const applyFalseSuspicion = (falseSuspicion: FalseSuspicion, from: ProcessIdentity) => {
        if (falseSuspicion === FalseSuspicion.Ended && isPresumedEnded) {
            return;
        }
        isPresumedEnded ||= falseSuspicion === FalseSuspicion.Ended;
        eventLog.record(EventKind.Misjudged, { peer: from.processId, reason: falseSuspicion });
        falseSuspicionListeners.forEach(listener => listener(falseSuspicion, from));
    };

    const applyEntry = ({ identity, ended }: MemberEntry, from: ProcessIdentity) => {
        if (identity.processId === network.self.processId) {
            applyEntryAboutSelf(identity, ended, from);
        }
        else if (ended) {
            directory.recordProof(identity, ended);
        }
        else {
            directory.register(identity);
        }
    };

    const applyEntryAboutSelf = (identity: ProcessIdentity, ended: EndProof | undefined, from: ProcessIdentity) => {
        const { incarnation } = network.self;
        if (identity.incarnation > incarnation || ended && identity.incarnation === incarnation) {
            applyFalseSuspicion(FalseSuspicion.Ended, from);
        }
    };

    return {
        send,
        receive,
        isPresumedEnded: () => isPresumedEnded,
        onFalselySuspected: listener => void falseSuspicionListeners.push(listener),
    };
}

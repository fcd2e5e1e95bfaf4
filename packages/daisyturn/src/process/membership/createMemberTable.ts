import { type Clock, EventKind, type EventLog, hashText } from "daisyturn-utils";
import { type Member, MemberState, type ProcessIdentity } from "../peers/index.js";
import { EndProof, FalseSuspicion, type MemberEntry } from "./heartbeatMessage.js";
import type { MembershipTiming } from "./membershipTiming.js";

/** State of another process as known to this one; all times are monotonic. */
export interface MemberRecord {
    readonly identity: ProcessIdentity;
    state: MemberState;
    /** Undefined if no message has been received from the member itself. */
    lastContactAt: number | undefined;
    /** Start of the current silence: last contact, registration of the member, or end of a pause of this process. */
    silenceStartedAt: number;
    /** Time since which no silence was long enough for a suspicion. */
    stableSince: number;
    /** Times of recent changes from suspect to alive, for {@link computeHoldDown}. */
    recoveries: readonly number[];
    /** When another process last confirmed recent contact with the member. */
    confirmedAliveAt: number | undefined;
    /** Sent with the next heartbeat. */
    falseSuspicion: FalseSuspicion | undefined;
    /** Whether the member list of its last heartbeat differed from that of this process. */
    viewDiffers: boolean;
    /** When the incarnation was proved to have ended. */
    endedAt: number | undefined;
    /** Aborted when the incarnation has ended or been replaced. */
    readonly monitoringStop: AbortController;
}

export interface MemberTableOptions {
    readonly self: () => ProcessIdentity;
    readonly clock: Clock;
    readonly eventLog: EventLog;
    readonly timing: MembershipTiming;
}

/** Known members: one record for the newest incarnation of each process id. */
export interface MemberTable {
    find(processId: string): MemberRecord | undefined;
    all(): readonly MemberRecord[];
    /** Returns the members that are not proved to have ended. */
    present(): readonly MemberRecord[];
    /** Adds a record, replacing that of an earlier incarnation. */
    add(identity: ProcessIdentity): MemberRecord;
    recordContact(record: MemberRecord): void;
    recordEnded(record: MemberRecord, proof: EndProof): void;
    setState(record: MemberRecord, state: MemberState): void;
    /** Removes the records of incarnations that ended longer ago than the retention time. */
    removeExpired(): void;
    /** Returns a hash of the present members, including this process. */
    view(): string;
    /** Returns the present members, for sending to peers. */
    entries(): MemberEntry[];
    onChange(listener: (member: Member) => void): void;
}

const eventOfState: Record<MemberState, EventKind> = {
    [MemberState.Alive]: EventKind.PeerAlive,
    [MemberState.Suspect]: EventKind.PeerSuspect,
    [MemberState.Dead]: EventKind.PeerDead,
    [MemberState.Left]: EventKind.PeerLeft,
};

const viewLength = 8;

export function createMemberTable(options: MemberTableOptions): MemberTable {
    const { self, clock, eventLog, timing } = options;
    const records = new Map<string, MemberRecord>();
    const listeners: ((member: Member) => void)[] = [];
    let cachedView: string | undefined;

    const all = () => [...records.values()];
    const present = () => all().filter(record => record.endedAt === undefined);

    const setState = (record: MemberRecord, state: MemberState) => {
        if (record.state === state) {
            return;
        }
        record.state = state;
        const { processId, incarnation, vmId } = record.identity;
        eventLog.record(eventOfState[state], { peer: processId, peerIncarnation: incarnation, vm: vmId });
        listeners.forEach(listener => listener({ identity: record.identity, state }));
    };

    const add = (identity: ProcessIdentity): MemberRecord => {
        const now = clock.monotonicNow();
        const record: MemberRecord = {
            identity,
            state: MemberState.Suspect,
            lastContactAt: undefined,
            silenceStartedAt: now,
            stableSince: now,
            recoveries: [],
            confirmedAliveAt: undefined,
            falseSuspicion: undefined,
            viewDiffers: false,
            endedAt: undefined,
            monitoringStop: new AbortController(),
        };
        records.get(identity.processId)?.monitoringStop.abort();
        records.set(identity.processId, record);
        cachedView = undefined;
        return record;
    };

    const recordContact = (record: MemberRecord) => {
        const now = clock.monotonicNow();
        const wasSilent = now - record.silenceStartedAt > timing.suspectLimit;
        if (wasSilent) {
            record.stableSince = now;
            record.falseSuspicion = determineFalseSuspicion(record);
        }
        if (record.state === MemberState.Dead) {
            setState(record, MemberState.Suspect);
        }
        const isReturning = record.lastContactAt !== undefined;
        record.lastContactAt = now;
        record.silenceStartedAt = now;
        if (record.state === MemberState.Suspect && now - record.stableSince >= computeHoldDown(record, timing, now)) {
            record.recoveries = isReturning ? [...recentRecoveries(record, timing, now), now] : [];
            setState(record, MemberState.Alive);
        }
    };

    const recordEnded = (record: MemberRecord, proof: EndProof) => {
        record.endedAt = clock.monotonicNow();
        record.monitoringStop.abort();
        cachedView = undefined;
        setState(record, proof === EndProof.Left ? MemberState.Left : MemberState.Dead);
    };

    const removeExpired = () => {
        const oldest = clock.monotonicNow() - timing.endedRetention;
        all()
            .filter(record => record.endedAt !== undefined && record.endedAt < oldest)
            .forEach(record => records.delete(record.identity.processId));
    };

    const view = (): string => {
        cachedView ??= hashText(
            [self(), ...present().map(record => record.identity)].map(formatIncarnationKey).sort().join(" "),
        )
            .slice(0, viewLength);
        return cachedView;
    };

    return {
        find: processId => records.get(processId),
        all,
        present,
        add,
        recordContact,
        recordEnded,
        setState,
        removeExpired,
        view,
        entries: () => [{ identity: self() }, ...present().map(({ identity }) => ({ identity }))],
        onChange: listener => void listeners.push(listener),
    };
}

export function formatIncarnationKey(identity: ProcessIdentity): string {
    return `${identity.processId}/${identity.incarnation}`;
}

function determineFalseSuspicion(record: MemberRecord): FalseSuspicion | undefined {
    if (record.lastContactAt === undefined) {
        return undefined;
    }
    switch (record.state) {
        case MemberState.Dead:
            return FalseSuspicion.Dead;
        case MemberState.Suspect:
            return FalseSuspicion.Suspect;
        default:
            return undefined;
    }
}

/** A member that is suspected repeatedly must be stable for longer each time before it is considered alive again. */
function computeHoldDown(record: MemberRecord, timing: MembershipTiming, now: number): number {
    const excess = recentRecoveries(record, timing, now).length - timing.recoveriesWithoutHoldDown;
    return excess < 0 ? 0 : Math.min(timing.maxHoldDown, timing.heartbeatInterval * 2 ** (excess + 1));
}

function recentRecoveries(record: MemberRecord, timing: MembershipTiming, now: number): readonly number[] {
    return record.recoveries.filter(at => at > now - timing.recoveryWindow);
}

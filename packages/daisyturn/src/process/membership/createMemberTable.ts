import { type Clock, EventKind, type EventLog, hashText } from "daisyturn-utils";
import { type Member, MemberState, type ProcessIdentity } from "../peers/index.js";
import { EndProof, FalseSuspicion, type MemberEntry } from "./heartbeatMessage.js";
import type { MembershipTiming } from "./membershipTiming.js";

/** What this process knows of another; all times are monotonic. */
export interface MemberRecord {
    readonly identity: ProcessIdentity;
    state: MemberState;
    /** Undefined for a member known from others only. */
    lastContactAt: number | undefined;
    /** Since when silence counts: last sign of life, first knowledge, or the end of this process's own pause. */
    silenceStartedAt: number;
    /** Since when there was no silence long enough for a suspicion. */
    stableSince: number;
    /** Times of the returns from suspicion that still count for {@link computeHoldDown}. */
    recoveries: readonly number[];
    /** When another process last said that it hears from the member. */
    confirmedAliveAt: number | undefined;
    /** To be told with the next heartbeat. */
    falseSuspicion: FalseSuspicion | undefined;
    /** Whether its last heartbeat showed other members than this process knows of. */
    viewDiffers: boolean;
    /** When the run was proved to have ended. */
    endedAt: number | undefined;
    /** Aborted when the record no longer counts. */
    readonly monitoringStop: AbortController;
}

export interface MemberTableOptions {
    readonly self: () => ProcessIdentity;
    readonly clock: Clock;
    readonly eventLog: EventLog;
    readonly timing: MembershipTiming;
}

/** The members that one process knows of: one record for each process id, for its newest run. */
export interface MemberTable {
    find(processId: string): MemberRecord | undefined;
    all(): readonly MemberRecord[];
    /** Those not proved to have ended. */
    present(): readonly MemberRecord[];
    /** Puts a record in place of the one of an earlier run. */
    add(identity: ProcessIdentity): MemberRecord;
    recordContact(record: MemberRecord): void;
    recordEnded(record: MemberRecord, proof: EndProof): void;
    setState(record: MemberRecord, state: MemberState): void;
    /** Drops records that ended long ago. */
    dropOld(): void;
    /** Hash of the members present, this process included. */
    view(): string;
    /** The members present, for telling peers. */
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

    const dropOld = () => {
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
        dropOld,
        view,
        entries: () => [{ identity: self() }, ...present().map(({ identity }) => ({ identity }))],
        onChange: listener => void listeners.push(listener),
    };
}

/** One run of one process, as a key. */
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

/** A member that keeps falling silent has to be steady for longer each time before it counts as alive again. */
function computeHoldDown(record: MemberRecord, timing: MembershipTiming, now: number): number {
    const excess = recentRecoveries(record, timing, now).length - timing.recoveriesWithoutHoldDown;
    return excess < 0 ? 0 : Math.min(timing.maxHoldDown, timing.heartbeatInterval * 2 ** (excess + 1));
}

function recentRecoveries(record: MemberRecord, timing: MembershipTiming, now: number): readonly number[] {
    return record.recoveries.filter(at => at > now - timing.recoveryWindow);
}

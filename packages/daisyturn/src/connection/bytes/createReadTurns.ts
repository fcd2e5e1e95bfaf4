import type { ByteSource } from "../../process/forwarding/index.js";
import { createTimeForOthers } from "./createTimeForOthers.js";
import { type ProcessTimes, processTimes } from "./processTimes.js";
import { readBounds } from "./readBounds.js";

/** Limits the part of the event loop's time that connections take by what they send. */
export interface ReadTurns {
    /** @param resume called when a connection that had to wait may read again */
    join(source: ByteSource, resume: () => void): ReadTurn;
    counts(source: ByteSource): ReadTurnCounts;
}

/** One connection's share of the turns. */
export interface ReadTurn {
    /** Returns the number of bytes that may be read now; 0 if the connection has to wait for `resume`. */
    begin(): number;
    /**
     * Records that the bytes of the last `begin` are processed.
     * @param followingMilliseconds charged for work that these bytes cause later
     */
    end(byteCount: number, followingMilliseconds?: number): void;
    /** Whether the connection waits because it has used its credit. */
    isThrottled(): boolean;
    /** Gives the connection its full credit, for another answer. */
    renew(): void;
    /** Withdraws the connection, which reads no more. */
    leave(): void;
}

/** Numbers of reads since the start of the process, and of connections that wait now. */
export interface ReadTurnCounts {
    /** Reads that were continued in the next turn of the event loop. */
    readonly cut: number;
    /** Reads of connections that had used their credit. */
    readonly throttled: number;
    readonly waiting: number;
}

const slowReadMilliseconds = 1;
/** Bytes of one connection in one turn. Consumers may process them after the read has ended. */
const maxTurnBytes = 256 * 1024;
/** Time that all connections together take of one turn. Plain calls take about ten turns and a hundred milliseconds. */
const maxTurnMilliseconds = 10;
/** Credit that a connection regains in a millisecond. Streams of 100 events a second use a hundredth. */
const creditRate = 0.05;
const minPauseMilliseconds = 1;

enum Wait {
    None,
    NextTurn,
    Throttled,
    /** The connection may read without credit. */
    Granted,
}

interface Member {
    readonly source: ByteSource;
    readonly resume: () => void;
    wait: Wait;
    credit: number;
    creditedAt: number;
    /** Milliseconds that were charged since the connection was last granted a turn without credit. */
    grantCharge: number;
    /** Milliseconds after which that turn ends. */
    maxGrant: number;
    turn: number;
    turnBytes: number;
    isSlow: boolean;
    /** Processor time at which the read began. */
    begunAt: number | undefined;
}

/**
 * Creates the turns of one process. Connections wait in the order in which they were cut. One that costs more time than
 * any correct call or answer shares a part of the time with its like, so that calls of others are served and not refused.
 */
export function createReadTurns(times: ProcessTimes = processTimes): ReadTurns {
    const nextTurn = new Set<Member>();
    const throttled = new Set<Member>();
    const cutCounts = new Map<ByteSource, number>();
    const throttledCounts = new Map<ByteSource, number>();
    let turn = 0;
    let spentMilliseconds = 0;
    let isTurnScheduled = false;
    let isThrottleScheduled = false;
    const timeForOthers = createTimeForOthers(times);

    const scheduleTurn = () => {
        if (!isTurnScheduled) {
            isTurnScheduled = true;
            setImmediate(startTurn);
        }
    };
    const startTurn = () => {
        isTurnScheduled = false;
        turn += 1;
        spentMilliseconds = 0;
        try {
            for (const member of [...nextTurn]) {
                if (spentMilliseconds >= maxTurnMilliseconds) {
                    break;
                }
                if (nextTurn.delete(member)) {
                    member.wait = Wait.None;
                    member.resume();
                }
            }
        }
        finally {
            // An exception of one connection must not stop the others.
            if (nextTurn.size > 0) {
                scheduleTurn();
            }
        }
    };
    const scheduleThrottled = () => {
        if (!isThrottleScheduled && throttled.size > 0) {
            isThrottleScheduled = true;
            setTimeout(resumeThrottled, Math.max(minPauseMilliseconds, timeForOthers.remaining())).unref();
        }
    };
    const resumeThrottled = () => {
        isThrottleScheduled = false;
        const [member] = throttled;
        if (!member || !timeForOthers.isOver()) {
            scheduleThrottled();
            return;
        }
        throttled.delete(member);
        grant(member, readBounds[member.source].maxGrant);
        const usedBefore = times.used();
        try {
            member.resume();
        }
        finally {
            endGrant(member);
            timeForOthers.leave(Math.max(times.used() - usedBefore, member.grantCharge));
            scheduleThrottled();
        }
    };
    const grant = (member: Member, maxGrant: number) => {
        member.wait = Wait.Granted;
        member.grantCharge = 0;
        member.maxGrant = maxGrant;
    };
    /** A grant that is not used at once would be used beside that of another connection. */
    const endGrant = (member: Member) => {
        if (member.wait === Wait.Granted) {
            member.wait = Wait.None;
            timeForOthers.leave(member.grantCharge);
        }
    };
    const wait = (member: Member, kind: Wait.NextTurn | Wait.Throttled) => {
        member.wait = kind;
        if (kind === Wait.NextTurn) {
            increment(cutCounts, member.source);
            nextTurn.add(member);
            scheduleTurn();
        }
        else {
            increment(throttledCounts, member.source);
            throttled.add(member);
            scheduleThrottled();
        }
        return 0;
    };
    const begin = (member: Member) => {
        if (member.wait === Wait.NextTurn || member.wait === Wait.Throttled) {
            return 0;
        }
        if (member.turn !== turn) {
            member.turn = turn;
            member.turnBytes = 0;
        }
        if (member.wait === Wait.None) {
            updateCredit(member, times.now());
            if (member.credit <= 0) {
                if (throttled.size > 0 || !timeForOthers.isOver()) {
                    return wait(member, Wait.Throttled);
                }
                grant(member, 0);
            }
            if (spentMilliseconds >= maxTurnMilliseconds || member.turnBytes >= maxTurnBytes) {
                return wait(member, Wait.NextTurn);
            }
        }
        member.begunAt = times.used();
        scheduleTurn();
        const { maxReadBytes, maxSlowReadBytes } = readBounds[member.source];
        return member.isSlow ? maxSlowReadBytes : maxReadBytes;
    };

    const end = (member: Member, byteCount: number, followingMilliseconds: number) => {
        if (member.begunAt !== undefined && member.turn === turn) {
            const milliseconds = times.used() - member.begunAt;
            const charge = milliseconds + followingMilliseconds;
            spentMilliseconds += milliseconds;
            member.credit -= charge;
            member.grantCharge += charge;
            member.turnBytes += byteCount;
            member.isSlow = milliseconds > slowReadMilliseconds;
            if (member.wait === Wait.None && member.credit < 0) {
                timeForOthers.leave(-member.credit);
            }
        }
        member.begunAt = undefined;
        if (member.grantCharge >= member.maxGrant) {
            endGrant(member);
        }
    };

    return {
        join: (source, resume) => {
            const member = createMember(source, resume, times.now());
            return {
                begin: () => begin(member),
                end: (byteCount, followingMilliseconds = 0) => end(member, byteCount, followingMilliseconds),
                isThrottled: () => member.wait === Wait.Throttled,
                renew: () => {
                    member.credit = readBounds[source].maxCredit;
                },
                leave: () => {
                    nextTurn.delete(member);
                    throttled.delete(member);
                },
            };
        },
        counts: source => ({
            cut: cutCounts.get(source) ?? 0,
            throttled: throttledCounts.get(source) ?? 0,
            waiting: [...nextTurn, ...throttled].filter(member => member.source === source).length,
        }),
    };
}

function increment(counts: Map<ByteSource, number>, source: ByteSource): void {
    counts.set(source, (counts.get(source) ?? 0) + 1);
}

function createMember(source: ByteSource, resume: () => void, now: number): Member {
    return {
        source,
        resume,
        wait: Wait.None,
        credit: readBounds[source].maxCredit,
        creditedAt: now,
        grantCharge: 0,
        maxGrant: 0,
        turn: 0,
        turnBytes: 0,
        isSlow: false,
        begunAt: undefined,
    };
}

function updateCredit(member: Member, now: number): void {
    const credit = member.credit + (now - member.creditedAt) * creditRate;
    member.credit = Math.min(readBounds[member.source].maxCredit, credit);
    member.creditedAt = now;
}

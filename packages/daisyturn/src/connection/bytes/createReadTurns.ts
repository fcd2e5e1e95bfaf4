/** Limits the part of the event loop's time that connections take by what they send. */
export interface ReadTurns {
    /** @param resume called when a connection that had to wait may read again */
    join(resume: () => void): ReadTurn;
    counts(): ReadTurnCounts;
}

/** One connection's share of the turns. */
export interface ReadTurn {
    /** Returns the number of bytes that may be read now; 0 if the connection has to wait for `resume`. */
    begin(): number;
    /** Records that the bytes of the last `begin` are processed. */
    end(byteCount: number): void;
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

/** Bytes that are parsed at once, as many as the kernel gives. */
const maxReadBytes = 64 * 1024;
/** The same for a connection whose last read took long: a read can't be interrupted, and small pieces take long. */
const maxSlowReadBytes = 8 * 1024;
const slowReadMilliseconds = 1;
/** Bytes of one connection in one turn. Consumers may process them after the read has ended. */
const maxTurnBytes = 256 * 1024;
/** Time that all connections together take of one turn. Plain calls take about ten turns and a hundred milliseconds. */
const maxTurnMilliseconds = 10;
/** Credit of a connection in milliseconds of processing time. An answer of 15 MB in large pieces takes less. */
const maxCreditMilliseconds = 50;
/** Credit that a connection regains in a millisecond. Streams of 100 events a second use a hundredth. */
const creditRate = 0.05;
/** Part of the time that all connections without credit take together. */
const throttledShare = 0.2;
const minThrottleMilliseconds = 1;

enum Wait {
    None,
    NextTurn,
    Throttled,
    /** The connection may read once without credit. */
    Granted,
}

interface Member {
    readonly resume: () => void;
    wait: Wait;
    credit: number;
    creditedAt: number;
    turn: number;
    turnBytes: number;
    isSlow: boolean;
    /** Processor time at which the read began. */
    begunAt: number | undefined;
}

/**
 * Creates the turns of one process. Connections wait in the order in which they were cut. One that costs more time than
 * any correct answer shares a part of the time with its like, so that calls of others are served and not refused.
 * @param now monotonic time in milliseconds
 * @param used processor time of the process in milliseconds. On a busy machine, elapsed time counts the work of others.
 */
export function createReadTurns(
    now: () => number = () => performance.now(),
    used: () => number = readProcessorTime,
): ReadTurns {
    const nextTurn = new Set<Member>();
    const throttled = new Set<Member>();
    let turn = 0;
    let spentMilliseconds = 0;
    let isTurnScheduled = false;
    let isThrottleScheduled = false;
    /** Monotonic time before which no connection without credit reads. */
    let throttledUntil = -Infinity;
    let cutCount = 0;
    let throttledCount = 0;

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
            setTimeout(resumeThrottled, Math.max(minThrottleMilliseconds, throttledUntil - now())).unref();
        }
    };
    const resumeThrottled = () => {
        const [member] = throttled;
        if (member) {
            throttled.delete(member);
            member.wait = Wait.Granted;
            const usedBefore = used();
            try {
                member.resume();
            }
            finally {
                throttledUntil = now() + (used() - usedBefore) * (1 - throttledShare) / throttledShare;
                isThrottleScheduled = false;
                scheduleThrottled();
            }
            return;
        }
        isThrottleScheduled = false;
    };
    const wait = (member: Member, kind: Wait.NextTurn | Wait.Throttled) => {
        member.wait = kind;
        if (kind === Wait.NextTurn) {
            cutCount += 1;
            nextTurn.add(member);
            scheduleTurn();
        }
        else {
            throttledCount += 1;
            throttled.add(member);
            scheduleThrottled();
        }
        return 0;
    };
    const updateCredit = (member: Member) => {
        const at = now();
        member.credit = Math.min(maxCreditMilliseconds, member.credit + (at - member.creditedAt) * creditRate);
        member.creditedAt = at;
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
            updateCredit(member);
            if (member.credit <= 0) {
                return wait(member, Wait.Throttled);
            }
            if (spentMilliseconds >= maxTurnMilliseconds || member.turnBytes >= maxTurnBytes) {
                return wait(member, Wait.NextTurn);
            }
        }
        member.wait = Wait.None;
        member.begunAt = used();
        scheduleTurn();
        return member.isSlow ? maxSlowReadBytes : maxReadBytes;
    };

    const end = (member: Member, byteCount: number) => {
        if (member.begunAt !== undefined && member.turn === turn) {
            const milliseconds = used() - member.begunAt;
            spentMilliseconds += milliseconds;
            member.credit -= milliseconds;
            member.turnBytes += byteCount;
            member.isSlow = milliseconds > slowReadMilliseconds;
        }
        member.begunAt = undefined;
    };

    return {
        join: resume => {
            const member: Member = {
                resume,
                wait: Wait.None,
                credit: maxCreditMilliseconds,
                creditedAt: now(),
                turn,
                turnBytes: 0,
                isSlow: false,
                begunAt: undefined,
            };
            return {
                begin: () => begin(member),
                end: byteCount => end(member, byteCount),
                renew: () => {
                    member.credit = maxCreditMilliseconds;
                },
                leave: () => {
                    nextTurn.delete(member);
                    throttled.delete(member);
                },
            };
        },
        counts: () => ({ cut: cutCount, throttled: throttledCount, waiting: nextTurn.size + throttled.size }),
    };
}

function readProcessorTime(): number {
    const { user, system } = process.cpuUsage();
    return (user + system) / 1_000;
}

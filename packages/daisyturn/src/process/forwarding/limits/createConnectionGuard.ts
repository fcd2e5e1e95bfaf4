import { type Clock, EventKind, type EventLog } from "daisyturn-utils";

/** Sheds new connections that this process can't serve while others can. */
export interface ConnectionGuard {
    /**
     * Whether a connection that arrives now is closed unread. Its caller knows that nothing has run, and tries another
     * process at once; requests that were read would have to be refused.
     */
    shouldClose(): boolean;
    /** Records a request. @param isFirst whether it is the first one of its connection */
    recordRequest(isFirst: boolean): void;
    /** Number of connections that were closed unread since the start of the process. */
    countClosed(): number;
}

/** What {@link createConnectionGuard} needs. */
export interface ConnectionGuardOptions {
    /** Returns the milliseconds since the start of the process in which its event loop was busy. */
    readonly busyMilliseconds: () => number;
    /** Whether another process has said a moment ago that it has room. */
    readonly hasRoomElsewhere: () => boolean;
    readonly clock: Clock;
    readonly eventLog: EventLog;
}

/** Lower than the utilization at which requests are refused, so that a process whose peers take its surplus refuses none. */
const maxUtilization = 0.8;
/**
 * Below this utilization, everything is admitted: with few requests, the process's other work makes each of them seem to
 * cost much more than one does in a crowd.
 */
const minUtilization = 0.4;
/** Shortest time over which the utilization is measured. */
const utilizationWindowMilliseconds = 100;
/** Work that may wait at once, so that one turn of the event loop does not last longer. */
const burstMilliseconds = 150;
/** A process whose requests cost much takes this many at once all the same. */
const minBurst = 8;
/** Time over which the cost of a request is measured, and the number of requests that it takes. */
const costWindowMilliseconds = 2_000;
const minRequests = 20;
const minCostMilliseconds = 0.1;
/** A process that stood still for seconds seems to have been busy, so the cost rises by no more than this in a window. */
const maxCostIncrease = 2;
/** A log line is written if there were not too many connections for this time. */
const quietMilliseconds = 2_000;

/** What a process has done up to a moment. */
interface BusySample {
    /** Monotonic time. */
    readonly at: number;
    readonly busy: number;
}

/**
 * Creates the guard of one process. A bucket holds the requests that it can serve soon; requests on open connections take
 * theirs in any case, and a new connection is admitted if one is left for it.
 */
export function createConnectionGuard(options: ConnectionGuardOptions): ConnectionGuard {
    const { clock, eventLog } = options;
    /** Milliseconds of one request; undefined until enough of them were measured. */
    let cost: number | undefined;
    let requests = 0;
    let windowStart = clock.monotonicNow();
    let windowBusy = options.busyMilliseconds();
    let left = 0;
    let refilledAt = windowStart;
    let quietAt = -Infinity;
    let closed = 0;
    /** Connections that were admitted a moment ago and whose first request has not been read. */
    let unread = 0;
    let previous: BusySample = { at: windowStart, busy: windowBusy };
    let latest = previous;

    const measureUtilization = (): number => {
        const sample = { at: clock.monotonicNow(), busy: options.busyMilliseconds() };
        const age = sample.at - latest.at;
        if (age >= utilizationWindowMilliseconds) {
            previous = age < 2 * utilizationWindowMilliseconds ? latest : sample;
            latest = sample;
            unread = 0;
        }
        const elapsed = Math.max(utilizationWindowMilliseconds, sample.at - previous.at);
        return (sample.busy - previous.busy) / elapsed;
    };

    /** Connections that are accepted within one turn of the event loop make it busy only when they are read. */
    const isBusy = () => measureUtilization() >= minUtilization || unread * (cost ?? 0) >= burstMilliseconds;

    const measureCost = (now: number) => {
        if (now - windowStart < costWindowMilliseconds) {
            return;
        }
        const busy = options.busyMilliseconds();
        if (requests >= minRequests) {
            const measured = Math.max(minCostMilliseconds, (busy - windowBusy) / requests);
            left = cost === undefined ? Infinity : left;
            cost = Math.min(measured, (cost ?? Infinity) * maxCostIncrease);
        }
        windowStart = now;
        windowBusy = busy;
        requests = 0;
    };

    /** @returns the most that the bucket holds */
    const refill = (): number => {
        const now = clock.monotonicNow();
        measureCost(now);
        if (cost === undefined) {
            return Infinity;
        }
        const burst = Math.max(minBurst, burstMilliseconds / cost);
        left = Math.min(burst, left + (now - refilledAt) * maxUtilization / cost);
        refilledAt = now;
        return burst;
    };

    const recordSurplus = () => {
        const now = clock.monotonicNow();
        if (now >= quietAt) {
            eventLog.record(EventKind.ConnectionsLimited, {
                perSecond: Math.round(1_000 * maxUtilization / (cost ?? 1)),
                cost: Number(cost?.toFixed(2)),
            });
        }
        quietAt = now + quietMilliseconds;
    };

    return {
        shouldClose: () => {
            const isCrowded = isBusy();
            const burst = refill();
            if (burst === Infinity) {
                return false;
            }
            if (left >= 1 || !isCrowded) {
                left = Math.max(-burst, left - 1);
                unread += 1;
                return false;
            }
            recordSurplus();
            const isClosed = options.hasRoomElsewhere();
            closed += isClosed ? 1 : 0;
            unread += isClosed ? 0 : 1;
            return isClosed;
        },
        countClosed: () => closed,
        recordRequest: isFirst => {
            requests += 1;
            unread = isFirst ? Math.max(0, unread - 1) : unread;
            if (!isFirst) {
                const burst = refill();
                left = Math.max(-burst, left - 1);
            }
        },
    };
}

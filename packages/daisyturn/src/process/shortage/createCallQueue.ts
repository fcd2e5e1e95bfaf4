import { createDecayingRate } from "daisyturn-utils";
import { orderByShares } from "./orderByShares.js";
import type { AccountRates, WaitingCall } from "./waitingCall.js";

/** The calls of one service that wait at one process. Times are monotonic milliseconds. */
export interface CallQueue {
    /** Adds a call. {@link CallQueue.judge} decides about it. */
    add(call: WaitingCall, now: number): void;
    /** Records a call that arrived and is sent without waiting. */
    recordPassed(account: string | undefined, now: number): void;
    /** Records a call that has ended at a target after so many milliseconds. */
    recordEnd(duration: number, now: number): void;
    /** Removes a call whose caller has left. */
    remove(call: WaitingCall): void;
    /** Starts as many calls as there is room for, and refuses those that can't be served before their deadline. */
    judge(room: QueueRoom, now: number): void;
    length(): number;
}

/** Number of calls that may start. */
export interface QueueRoom {
    readonly any: number;
    /** The same for calls by which an account stays within its share; at least as many. */
    readonly withinShare: number;
}

/** More calls than this can't be worth holding in one process, whatever their deadlines are. */
const maxLength = 256;
/** Time over which rates are observed: a share that is not used is lent, and taken back within it. */
const memoryMilliseconds = 1_000;
const initialDurationMilliseconds = 100;
const durationWeight = 0.1;
/** Lowest rate at which calls are assumed to start, while few have ended. */
const minPerSecond = 2;
/** Latest time that callers are given. */
const maxRetryDelayMilliseconds = 2_000;
const maxAccounts = 256;
const millisecondsPerSecond = 1_000;

/**
 * Creates an empty queue. The calls of accounts that got less than their share come first, then the more urgent, then the
 * older. Each call is expected to start after those before it, at the rate at which calls of this process have ended a
 * moment ago; a process does not know how many calls wait at others, but its own rate falls with them.
 */
export function createCallQueue(startedAt: number): CallQueue {
    let waiting: WaitingCall[] = [];
    const accounts = new Map<string | undefined, AccountRates>();
    const ends = createDecayingRate(memoryMilliseconds, startedAt);
    let duration = initialDurationMilliseconds;
    /** Time that the last refused call was given. */
    let retryTurnAt = -Infinity;

    const findAccount = (account: string | undefined, now: number): AccountRates => {
        const known = accounts.get(account);
        if (known) {
            return known;
        }
        if (accounts.size >= maxAccounts) {
            accounts.clear();
        }
        const rates = {
            arrivals: createDecayingRate(memoryMilliseconds, now),
            starts: createDecayingRate(memoryMilliseconds, now),
        };
        accounts.set(account, rates);
        return rates;
    };

    const perMillisecond = (now: number) => Math.max(minPerSecond, ends.perSecond(now)) / millisecondsPerSecond;

    const start = (call: WaitingCall, now: number) => {
        findAccount(call.account, now).starts.add(1, now);
        call.start();
    };

    /** Tells refused callers different times, as far apart as calls end. */
    const refuse = (call: WaitingCall, overdue: number, now: number) => {
        const earliest = now + Math.max(0, overdue);
        retryTurnAt = Math.max(earliest, retryTurnAt + 1 / perMillisecond(now));
        retryTurnAt = Math.min(retryTurnAt, now + maxRetryDelayMilliseconds);
        call.refuse(retryTurnAt);
    };

    return {
        add: (call, now) => {
            findAccount(call.account, now).arrivals.add(1, now);
            waiting.push(call);
        },
        recordPassed: (account, now) => {
            const { arrivals, starts } = findAccount(account, now);
            arrivals.add(1, now);
            starts.add(1, now);
        },
        recordEnd: (milliseconds, now) => {
            ends.add(1, now);
            duration += (milliseconds - duration) * durationWeight;
        },
        remove: call => {
            waiting = waiting.filter(other => other !== call);
        },
        judge: (room, now) => {
            if (waiting.length === 0) {
                return;
            }
            const rate = perMillisecond(now);
            const { within, beyond } = orderByShares(waiting, accounts, rate * millisecondsPerSecond, now);
            waiting = [];
            let started = 0;
            for (const [index, call] of [...within, ...beyond].entries()) {
                const left = (index < within.length ? room.withinShare : room.any) - started;
                const wait = left >= 1 ? 0 : (waiting.length + 1) / rate;
                const overdue = now + wait + duration - call.deadline;
                if (overdue > 0 || waiting.length >= maxLength) {
                    refuse(call, overdue, now);
                }
                else if (left >= 1) {
                    started += 1;
                    start(call, now);
                }
                else {
                    waiting.push(call);
                }
            }
        },
        length: () => waiting.length,
    };
}

import type { Clock } from "daisyturn-utils";
import { createRetryWindow, type RetryWindow } from "./createRetryWindow.js";

/** Limit on the repeats that all processes together may add to a service's requests within a window. */
export interface RetryAllowance {
    /** Repeats per request. */
    readonly ratio: number;
    /** Length of the window, in milliseconds. */
    readonly windowMilliseconds: number;
    /** Repeats that the fleet may add to each service in a window, whatever the number of requests. */
    readonly slack: number;
}

/** How many repeats a retry sends. */
export interface RetryDemand {
    /** Acquired only while the budget stays at least half full. */
    readonly wanted: number;
    /** The fewest that the retry can do with. */
    readonly least: number;
    /** Whether the retry may take what is kept back for calls that have already begun to answer. */
    readonly hasStarted: boolean;
}

/** Repeats that a call may send. Each counts until it is recorded or released. */
export interface RetryPermit {
    /** Number of repeats that are neither spent nor released. */
    readonly remaining: number;
    /** Spends one repeat right before it is sent; undefined if none remains or the lease of the permit has ended. */
    spend(): SpentRepeat | undefined;
    /** Releases all remaining repeats, or all but a number of them. */
    release(keep?: number): void;
}

/** A repeat that is being sent. Exactly one function is called, once. */
export interface SpentRepeat {
    /** The target has answered. */
    recordAnswered(): void;
    /** The send failed and may have arrived, or still arrive. */
    recordBroken(): void;
    /** The repeat was not sent, or does not count; returns it to its permit. */
    giveBack(): void;
}

/** What is left of a service's budget at this process. */
export interface RetryBudgetStatus {
    /** Repeats that this process may send now, without leases. */
    readonly left: number;
    /** Repeats that this process may send at once after a time without any, without leases. */
    readonly limit: number;
    /** Repeats that other processes have leased to this one and that it may still send. */
    readonly leased: number;
    /** Repeats that this process has leased to others since it started. */
    readonly lent: number;
}

/**
 * This process's part of the fleet's retry budget: the ratio of its own requests, its share of the slack, and what other
 * processes lease to it. The lender counts a lease as sent, so that the sum over all processes never exceeds the fleet's
 * budget, whichever of them end, pause or are cut off.
 */
export interface WindowedRetryBudget {
    recordRequest(service: string): void;
    tryAcquire(service: string, demand: RetryDemand): RetryPermit | undefined;
    /**
     * Leases repeats to another process: one, or up to half of what is left.
     * @param deadline monotonic time until which the other process may send them
     * @returns their number; 0 for a service that this process has had no requests for, or if the deadline is too far
     */
    lend(service: string, wanted: number, deadline: number): number;
    /** Adds repeats that another process leases to this one, which must be sent until a monotonic time. */
    addLease(service: string, count: number, deadline: number): void;
    status(service: string): RetryBudgetStatus;
}

/** What {@link createWindowedRetryBudget} needs. */
export interface WindowedRetryBudgetOptions {
    /** Called on each use, because settings may be reloaded. */
    readonly allowance: () => RetryAllowance;
    /** Number of processes in the fleet; undefined if it is not known. */
    readonly countProcesses: () => number | undefined;
    readonly clock: Clock;
}

/** Part of the slack that is shared among the processes. The rest is for the shares of processes that have just started. */
const sharedSlackFraction = 0.9;
/**
 * Part of its share that a process has after its start: its predecessor may have spent a whole share in the same window,
 * and the other processes still take the shares of a smaller fleet.
 */
const freshShareFraction = 0.1;
/** Time within which all processes know of one that has started, added to the window in which they have known it. */
const listedMilliseconds = 12_000;
/** Part of the limit that is kept back for calls that have already begun to answer, while there are such retries. */
const startedReserveFraction = 0.1;
/** Least part of the limit that is left after a retry that sends more than the fewest repeats it can do with. */
const comfortableFraction = 0.5;
/** Longest lease, as a part of the window: a lease counts as sent at its deadline. */
const maxLeaseFraction = 0.5;
/** Bytes that are on their way when a connection is abandoned reach the target within this time. */
const brokenArrivalMilliseconds = 500;

interface Lease {
    readonly deadline: number;
    count: number;
}

interface ServiceBudget {
    readonly window: RetryWindow;
    leases: Lease[];
    lent: number;
    /** Monotonic time of the last retry of a call that had begun to answer. */
    startedRetryAt: number;
}

/** Creates the budget of one process. */
export function createWindowedRetryBudget(options: WindowedRetryBudgetOptions): WindowedRetryBudget {
    const { allowance, countProcesses, clock } = options;
    const services = new Map<string, ServiceBudget>();
    const startedAt = clock.monotonicNow();

    const share = (): number => {
        const { slack, windowMilliseconds } = allowance();
        const processes = countProcesses();
        const isFresh = clock.monotonicNow() - startedAt < windowMilliseconds + listedMilliseconds;
        return processes === undefined
            ? 0
            : sharedSlackFraction * slack / processes * (isFresh ? freshShareFraction : 1);
    };

    const find = (service: string): ServiceBudget => {
        const known = services.get(service);
        if (known) {
            return known;
        }
        const { ratio, windowMilliseconds } = allowance();
        const window = createRetryWindow({ ratio, windowMilliseconds, share, clock });
        const created = { window, leases: [], lent: 0, startedRetryAt: -Infinity };
        services.set(service, created);
        return created;
    };

    const listLeases = (budget: ServiceBudget): readonly Lease[] => {
        const now = clock.monotonicNow();
        budget.leases = budget.leases.filter(({ count, deadline }) => count > 0 && deadline > now);
        return budget.leases;
    };

    /** Leases are used first, because what is left of them is lost. One covers a single repeat. */
    const acquireFromLease = (budget: ServiceBudget): RetryPermit | undefined => {
        const [lease] = listLeases(budget);
        if (!lease) {
            return undefined;
        }
        lease.count -= 1;
        return createPermit(1, {
            isValid: () => clock.monotonicNow() < lease.deadline,
            // The lender has counted it.
            record: () => undefined,
            release: count => {
                lease.count += count;
            },
        });
    };

    const acquireOwn = ({ window, startedRetryAt }: ServiceBudget, { wanted, least, hasStarted }: RetryDemand) => {
        const left = window.available();
        const limit = window.limit();
        const isKept = !hasStarted && clock.monotonicNow() - startedRetryAt < allowance().windowMilliseconds;
        const kept = isKept ? startedReserveFraction * limit : 0;
        const count = left - wanted >= comfortableFraction * limit ? wanted : least;
        if (left - count < kept) {
            return undefined;
        }
        window.reserve(count);
        return createPermit(count, {
            isValid: () => true,
            record: at => window.recordReserved(at),
            release: released => window.release(released),
        });
    };

    const createPermit = (count: number, source: PermitSource): RetryPermit => {
        let remaining = count;
        return {
            get remaining() {
                return remaining;
            },
            spend: () => {
                if (remaining === 0 || !source.isValid()) {
                    return undefined;
                }
                remaining -= 1;
                return {
                    recordAnswered: () => source.record(clock.monotonicNow()),
                    recordBroken: () => source.record(clock.monotonicNow() + brokenArrivalMilliseconds),
                    giveBack: () => {
                        remaining += 1;
                    },
                };
            },
            release: (keep = 0) => {
                const released = Math.max(0, remaining - keep);
                remaining -= released;
                source.release(released);
            },
        };
    };

    return {
        recordRequest: service => find(service).window.recordRequest(),
        tryAcquire: (service, demand) => {
            const budget = find(service);
            budget.startedRetryAt = demand.hasStarted ? clock.monotonicNow() : budget.startedRetryAt;
            return (demand.least === 1 ? acquireFromLease(budget) : undefined) ?? acquireOwn(budget, demand);
        },
        lend: (service, wanted, deadline) => {
            const budget = services.get(service);
            const longest = allowance().windowMilliseconds * maxLeaseFraction;
            if (!budget || deadline - clock.monotonicNow() > longest) {
                return 0;
            }
            const left = Math.floor(budget.window.availableUntil(deadline));
            const count = left < 1 ? 0 : Math.min(Math.floor(wanted), Math.max(1, Math.floor(left / 2)));
            budget.window.recordUntil(deadline, count);
            budget.lent += count;
            return count;
        },
        addLease: (service, count, deadline) => {
            const budget = find(service);
            budget.leases = [...listLeases(budget), { count, deadline }];
        },
        status: service => {
            const budget = find(service);
            return {
                left: Math.max(0, budget.window.available()),
                limit: budget.window.limit(),
                leased: listLeases(budget).reduce((sum, { count }) => sum + count, 0),
                lent: budget.lent,
            };
        },
    };
}

/** Where the repeats of a permit come from. */
interface PermitSource {
    readonly isValid: () => boolean;
    /** Records one repeat that arrives until a monotonic time. */
    readonly record: (at: number) => void;
    readonly release: (count: number) => void;
}

import type { Clock } from "daisyturn-utils";
import { StorePriority } from "./storeClient.js";

/** This process's share of one of the table service's rates. */
export interface StoreBudget {
    /**
     * Waits for permission to make one call. Resolves with false at `deadline` (monotonic) or when `signal` is aborted.
     * Leases go before claims and claims before the rest, but no call is skipped more than a fixed number of times,
     * which prevents starvation.
     */
    acquire(priority: StorePriority, deadline: number, signal?: AbortSignal): Promise<boolean>;
    /** Discards the accumulated tokens, so that calls delayed by an outage resume at the steady rate. */
    drain(): void;
}

export interface StoreBudgetOptions {
    readonly clock: Clock;
    readonly callsPerSecond: number;
}

interface Waiter {
    readonly deadline: number;
    readonly resolve: (granted: boolean) => void;
}

interface WaitQueue {
    readonly waiters: Waiter[];
    /** Number of grants to other queues, while this one was waiting, since its own last grant. */
    skips: number;
}

const millisecondsPerSecond = 1_000;
/** Capacity of the bucket: the calls of this many seconds may be made in one burst after an idle period. */
const burstSeconds = 0.25;
/** After this many grants to other queues, a waiting queue is served next, whatever the priority of the others. */
export const maxSkips = 8;
/** Tolerance for floating-point errors: a sum of small refills may fall short of a whole token by less than this. */
const roundingError = 1e-6;

const urgencyOrder = [StorePriority.Lease, StorePriority.Claim, StorePriority.Other] as const;

/** Creates a token bucket with three priorities. */
export function createStoreBudget(options: StoreBudgetOptions): StoreBudget {
    const { clock, callsPerSecond } = options;
    const maxTokens = Math.max(1, callsPerSecond * burstSeconds);
    const queues = new Map<StorePriority, WaitQueue>(
        urgencyOrder.map(priority => [priority, { waiters: [], skips: 0 }]),
    );
    let tokens = maxTokens;
    let refilledAt = clock.monotonicNow();
    let isGranting = false;
    let wake = new AbortController();

    const refill = () => {
        const now = clock.monotonicNow();
        tokens = Math.min(maxTokens, tokens + (now - refilledAt) * callsPerSecond / millisecondsPerSecond);
        refilledAt = now;
    };

    const nonEmptyQueues = () => [...queues.values()].filter(queue => queue.waiters.length > 0);

    const chooseQueue = () => {
        const waiting = nonEmptyQueues();
        return waiting.findLast(queue => queue.skips >= maxSkips) ?? waiting[0];
    };

    const grantNext = () => {
        const chosen = chooseQueue();
        if (!chosen) {
            return;
        }
        for (const queue of nonEmptyQueues()) {
            queue.skips += 1;
        }
        chosen.skips = 0;
        tokens -= 1;
        chosen.waiters.shift()?.resolve(true);
    };

    const removeExpired = () => {
        const now = clock.monotonicNow();
        for (const { waiters } of queues.values()) {
            const expired = waiters.filter(waiter => waiter.deadline <= now);
            expired.forEach(waiter => remove(waiters, waiter));
        }
    };

    /** Time at which the next token is available or the next deadline of a waiter is reached. */
    const nextEventAt = () => {
        const missing = Math.max(0, 1 - tokens);
        const tokenAt = clock.monotonicNow() + missing * millisecondsPerSecond / callsPerSecond;
        const deadlines = nonEmptyQueues().flatMap(queue => queue.waiters.map(waiter => waiter.deadline));
        return Math.min(tokenAt, ...deadlines);
    };

    /** Runs while calls are waiting. Tokens are granted only here. */
    const grantWhileWaiting = async () => {
        isGranting = true;
        // Lets all calls made in the same turn join their queues before the first one is granted.
        await Promise.resolve();
        while (nonEmptyQueues().length > 0) {
            removeExpired();
            refill();
            if (tokens >= 1 - roundingError) {
                grantNext();
                continue;
            }
            wake = new AbortController();
            await clock.sleepUntil(nextEventAt(), wake.signal);
        }
        isGranting = false;
    };

    const acquire = (priority: StorePriority, deadline: number, signal?: AbortSignal) =>
        new Promise<boolean>(resolve => {
            const waiters = queues.get(priority)?.waiters;
            if (!waiters || signal?.aborted || deadline <= clock.monotonicNow()) {
                resolve(false);
                return;
            }
            const waiter: Waiter = { deadline, resolve };
            waiters.push(waiter);
            signal?.addEventListener("abort", () => remove(waiters, waiter), { once: true });
            if (isGranting) {
                wake.abort();
            }
            else {
                void grantWhileWaiting();
            }
        });

    return {
        acquire,
        drain: () => {
            refill();
            tokens = 0;
        },
    };
}

function remove(waiters: Waiter[], waiter: Waiter): void {
    const index = waiters.indexOf(waiter);
    if (index >= 0) {
        waiters.splice(index, 1);
        waiter.resolve(false);
    }
}

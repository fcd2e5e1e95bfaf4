import type { Clock } from "daisyturn-utils";
import { StorePriority } from "./storeClient.js";

/** This process's share of one of the table service's rates. */
export interface StoreBudget {
    /**
     * Waits for the right to make one call; false once `deadline` (monotonic) has come or `signal` is aborted.
     * Leases go before claims and claims before the rest, but nobody is passed over more than a fixed number of times.
     */
    acquire(priority: StorePriority, deadline: number, signal?: AbortSignal): Promise<boolean>;
    /** Gives up what was saved, so that calls held back by an outage start at the steady rate. */
    drain(): void;
}

/** The rate, and how much of it may be saved up. */
export interface StoreBudgetOptions {
    readonly clock: Clock;
    readonly callsPerSecond: number;
}

interface Waiter {
    readonly deadline: number;
    readonly resolve: (granted: boolean) => void;
}

interface Lane {
    readonly waiters: Waiter[];
    /** Grants to more urgent lanes since this one's last, while it was waiting. */
    passedOver: number;
}

const millisecondsPerSecond = 1_000;
/** Part of a second's calls that may be made at once after a pause. */
const burstSeconds = 0.25;
/** After so many grants to others a waiting lane gets its turn, however urgent the others are. */
export const mostPassedOver = 8;
/** Takes up rounding: a sum of small refills may miss a whole call by less than this. */
const roundingError = 1e-6;

const urgencyOrder = [StorePriority.Lease, StorePriority.Claim, StorePriority.Other] as const;

/** Creates a token bucket with three priorities. */
export function createStoreBudget(options: StoreBudgetOptions): StoreBudget {
    const { clock, callsPerSecond } = options;
    const mostTokens = Math.max(1, callsPerSecond * burstSeconds);
    const lanes = new Map<StorePriority, Lane>(
        urgencyOrder.map(priority => [priority, { waiters: [], passedOver: 0 }]),
    );
    let tokens = mostTokens;
    let refilledAt = clock.monotonicNow();
    let isGranting = false;
    let wake = new AbortController();

    const refill = () => {
        const now = clock.monotonicNow();
        tokens = Math.min(mostTokens, tokens + (now - refilledAt) * callsPerSecond / millisecondsPerSecond);
        refilledAt = now;
    };

    const waitingLanes = () => [...lanes.values()].filter(lane => lane.waiters.length > 0);

    const chooseLane = () => {
        const waiting = waitingLanes();
        return waiting.findLast(lane => lane.passedOver >= mostPassedOver) ?? waiting[0];
    };

    const grantNext = () => {
        const chosen = chooseLane();
        if (!chosen) {
            return;
        }
        for (const lane of waitingLanes()) {
            lane.passedOver += 1;
        }
        chosen.passedOver = 0;
        tokens -= 1;
        chosen.waiters.shift()?.resolve(true);
    };

    const dropExpired = () => {
        const now = clock.monotonicNow();
        for (const { waiters } of lanes.values()) {
            const expired = waiters.filter(waiter => waiter.deadline <= now);
            expired.forEach(waiter => drop(waiters, waiter));
        }
    };

    /** Time at which a token is there or a waiter's deadline comes. */
    const nextEventAt = () => {
        const missing = Math.max(0, 1 - tokens);
        const tokenAt = clock.monotonicNow() + missing * millisecondsPerSecond / callsPerSecond;
        const deadlines = waitingLanes().flatMap(lane => lane.waiters.map(waiter => waiter.deadline));
        return Math.min(tokenAt, ...deadlines);
    };

    /** Runs while somebody waits; it is the only place where tokens are handed out. */
    const grantWhileWaiting = async () => {
        isGranting = true;
        // Lets all calls of this turn line up before the first is served.
        await Promise.resolve();
        while (waitingLanes().length > 0) {
            dropExpired();
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
            const waiters = lanes.get(priority)?.waiters;
            if (!waiters || signal?.aborted || deadline <= clock.monotonicNow()) {
                resolve(false);
                return;
            }
            const waiter: Waiter = { deadline, resolve };
            waiters.push(waiter);
            signal?.addEventListener("abort", () => drop(waiters, waiter), { once: true });
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

function drop(waiters: Waiter[], waiter: Waiter): void {
    const index = waiters.indexOf(waiter);
    if (index >= 0) {
        waiters.splice(index, 1);
        waiter.resolve(false);
    }
}

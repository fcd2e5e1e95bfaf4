import { type Clock, createDecayingRate, type DecayingRate } from "daisyturn-utils";

/** How many repeated sends all processes together may add to a service's requests within a window. */
export interface RetryAllowance {
    /** Repeated sends for each request. */
    readonly ratio: number;
    /** Length of the window, in milliseconds. */
    readonly windowMilliseconds: number;
}

/** Keeps this process's repeated sends below its part of what the whole fleet may add. */
export interface WindowedRetryBudget {
    recordRequest(service: string): void;
    /** Takes one repeated send if the window has room for it. */
    tryAcquire(service: string): boolean;
}

/**
 * Part of the allowed ratio that is used. The rest covers that processes estimate the window by exponential decay, and
 * that requests sent to processes that died count nowhere.
 */
const usedFraction = 0.75;
/** Repeated sends that are free in a window: without them, a process with little work could never retry. */
const freeSends = 3;

interface ServiceWindow {
    readonly requests: DecayingRate;
    readonly repeats: DecayingRate;
}

const millisecondsPerSecond = 1_000;

/** Creates the budget of one process. */
export function createWindowedRetryBudget(clock: Clock, allowance: () => RetryAllowance): WindowedRetryBudget {
    const windows = new Map<string, ServiceWindow>();

    const findWindow = (service: string): ServiceWindow => {
        const known = windows.get(service);
        if (known) {
            return known;
        }
        const now = clock.monotonicNow();
        const { windowMilliseconds } = allowance();
        const created = {
            requests: createDecayingRate(windowMilliseconds, now),
            repeats: createDecayingRate(windowMilliseconds, now),
        };
        windows.set(service, created);
        return created;
    };

    return {
        recordRequest: service => findWindow(service).requests.add(1, clock.monotonicNow()),
        tryAcquire: service => {
            const now = clock.monotonicNow();
            const { requests, repeats } = findWindow(service);
            const { ratio, windowMilliseconds } = allowance();
            const windowSeconds = windowMilliseconds / millisecondsPerSecond;
            const allowed = freeSends + usedFraction * ratio * requests.perSecond(now) * windowSeconds;
            if (repeats.perSecond(now) * windowSeconds + 1 > allowed) {
                return false;
            }
            repeats.add(1, now);
            return true;
        },
    };
}

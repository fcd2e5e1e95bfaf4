import { type Clock, createDecayingRate, type DecayingRate } from "daisyturn-utils";

/** Limit on the repeated sends that all processes together may add to a service's requests within a window. */
export interface RetryAllowance {
    /** Repeated sends per request. */
    readonly ratio: number;
    /** Length of the window, in milliseconds. */
    readonly windowMilliseconds: number;
}

/** Limits this process's repeated sends to its share of what the whole fleet may add. */
export interface WindowedRetryBudget {
    recordRequest(service: string): void;
    /** Acquires one repeated send if the window's budget allows it. */
    tryAcquire(service: string): boolean;
}

/**
 * Fraction of the allowed ratio that is used. The margin covers the error of estimating the window by exponential
 * decay, and requests sent to processes that have crashed, which no process counts.
 */
const usedFraction = 0.75;
/** Repeated sends that are always allowed in a window. Without them, a process with few requests could never retry. */
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

/** Limits of the retries of all processes together. */
export interface RetryBudgetOptions {
    /** Retries earned by each request. */
    readonly fraction: number;
    /**
     * Maximum number of accumulated retries, of all processes together. It must cover the interrupted streams of one
     * failing engine.
     */
    readonly maxSaved: number;
}

/** Limits the retries of a process to its part of those of the fleet, so that retries can't amplify an overload. */
export interface RetryBudget {
    /** Records an admitted request. */
    recordRequest(): void;
    /** Acquires one retry; returns whether one was available. */
    tryAcquire(): boolean;
}

/** Used if the settings specify no limits. */
export const defaultRetryBudget: RetryBudgetOptions = { fraction: 0.2, maxSaved: 100 };

/**
 * Creates the budget of one process, which starts with a full share.
 * @param countProcesses returns the number of processes in the fleet, including this one
 */
export function createRetryBudget(options: RetryBudgetOptions, countProcesses: () => number): RetryBudget {
    const share = () => options.maxSaved / countProcesses();
    let saved = options.maxSaved;
    return {
        recordRequest: () => {
            saved = Math.min(share(), saved + options.fraction);
        },
        tryAcquire: () => {
            saved = Math.min(share(), saved);
            if (saved < 1) {
                return false;
            }
            saved -= 1;
            return true;
        },
    };
}

/** Limits of the retries of one process. */
export interface RetryBudgetOptions {
    /** Retries earned by each request. */
    readonly fraction: number;
    /** Maximum number of accumulated retries. It must cover the interrupted streams of one failing engine. */
    readonly maxSaved: number;
}

/** Limits the retries of the process to a fraction of its requests, so that retries can't amplify an overload. */
export interface RetryBudget {
    /** Records an admitted request. */
    recordRequest(): void;
    /** Acquires one retry; returns whether one was available. */
    tryAcquire(): boolean;
}

/** Used if the settings specify no limits. */
export const defaultRetryBudget: RetryBudgetOptions = { fraction: 0.2, maxSaved: 100 };

/** Creates the budget of one process, which starts full. */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
    let saved = options.maxSaved;
    return {
        recordRequest: () => {
            saved = Math.min(options.maxSaved, saved + options.fraction);
        },
        tryAcquire: () => {
            if (saved < 1) {
                return false;
            }
            saved -= 1;
            return true;
        },
    };
}

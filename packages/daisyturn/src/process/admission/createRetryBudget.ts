/** How many retries a process allows itself. */
export interface RetryBudgetOptions {
    /** Retries earned by each request. */
    readonly fraction: number;
    /** Most retries that can be saved up. It must cover the streams that one failing engine leaves behind. */
    readonly most: number;
}

/** Keeps retries of the whole process to a fraction of its requests, so that they can't feed an overload. */
export interface RetryBudget {
    /** Notes a request that was admitted. */
    recordRequest(): void;
    /** Takes one retry if there is one. */
    tryAcquire(): boolean;
}

/** Used where the settings say nothing else. */
export const defaultRetryBudget: RetryBudgetOptions = { fraction: 0.2, most: 100 };

/** Creates the budget of one process; it starts full. */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
    let saved = options.most;
    return {
        recordRequest: () => {
            saved = Math.min(options.most, saved + options.fraction);
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

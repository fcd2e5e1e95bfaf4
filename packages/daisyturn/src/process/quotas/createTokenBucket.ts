/** The answer of a bucket. */
export interface TokenAnswer {
    readonly isGranted: boolean;
    /** Milliseconds after which a token is expected; 0 if one was granted. */
    readonly wait: number;
}

/** The tokens of one quota. */
export interface TokenBucket {
    /**
     * Takes a token.
     * @param now monotonic time
     * @param perSecond tokens a second
     */
    take(now: number, perSecond: number): TokenAnswer;
}

/** A window holds up to this many requests more than the quota, so that tokens are not lost between two requests. */
const capacity = 2;
/**
 * Lowest rate. A target that names 0 is still sent a request now and then, since only its answers can say that the limit
 * has ended.
 */
const minPerSecond = 0.05;
/**
 * Requests that get no token get different times, one token apart, so that they do not all come at once. The last of
 * them comes at most this long after the next token, since the others may need none by then.
 */
const maxSpreadMilliseconds = 500;
const millisecondsPerSecond = 1_000;

/**
 * Creates a bucket that is empty at its start, because another process may have granted tokens until then.
 * @param startedAt monotonic time
 */
export function createTokenBucket(startedAt: number): TokenBucket {
    let tokens = 0;
    let filledAt = startedAt;
    /** Monotonic time given to the next request that gets no token. */
    let nextTurnAt = -Infinity;

    return {
        take: (now, perSecond) => {
            const rate = Math.max(perSecond, minPerSecond) / millisecondsPerSecond;
            tokens = Math.min(capacity, tokens + Math.max(0, now - filledAt) * rate);
            filledAt = now;
            if (tokens >= 1) {
                tokens -= 1;
                return { isGranted: true, wait: 0 };
            }
            const nextTokenAt = now + (1 - tokens) / rate;
            const turnAt = Math.min(Math.max(nextTurnAt, nextTokenAt), nextTokenAt + maxSpreadMilliseconds);
            nextTurnAt = turnAt + 1 / rate;
            return { isGranted: false, wait: turnAt - now };
        },
    };
}

import { createTokenBucket, type TokenBucket } from "./createTokenBucket.js";
import type { KnownQuota } from "./quotaMessages.js";

/** What a process knows of a quota that it is asked for. */
export interface QuotaState {
    readonly bucket: { current: TokenBucket; };
    /** Tokens a second, and the monotonic time at which this was named. */
    perSecond: number;
    namedAt: number;
    /** Monotonic times of the first and the last request since there was none for a while. */
    askedSince: number;
    askedAt: number;
    claimedAt: number;
    /** Monotonic time until which this process is the home; another one may be it afterwards. */
    homeUntil: number;
    /** Part of the quota that this process may grant. */
    share: number;
    announcedAt: number;
    announcedPerSecond: number | undefined;
    isLogged: boolean;
}

/** After such a pause, a process that is no home waits again before it becomes one. */
const pauseMilliseconds = 1_400;

export function createState(now: number): QuotaState {
    return {
        bucket: { current: createTokenBucket(now) },
        perSecond: 0,
        namedAt: -Infinity,
        askedSince: now,
        askedAt: now,
        claimedAt: -Infinity,
        homeUntil: -Infinity,
        share: 1,
        announcedAt: -Infinity,
        announcedPerSecond: undefined,
        isLogged: false,
    };
}

/** Records a request. The rate that was named last counts. */
export function recordRequest(state: QuotaState, { perSecond, age }: KnownQuota, now: number): void {
    if (now - state.askedAt > pauseMilliseconds) {
        state.askedSince = now;
    }
    state.askedAt = now;
    if (now - age >= state.namedAt) {
        state.namedAt = now - age;
        state.perSecond = perSecond;
    }
}

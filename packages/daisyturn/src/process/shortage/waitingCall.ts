import type { DecayingRate } from "daisyturn-utils";

/** A call that waits until a target has room for it. */
export interface WaitingCall {
    /** Client account; undefined for callers without one, who count as one account. */
    readonly account?: string;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Monotonic time by which the answer must be complete. */
    readonly deadline: number;
    /** Called once, unless the call is removed first. */
    readonly start: () => void;
    /**
     * Called once in place of `start`.
     * @param retryAt monotonic time at which capacity is expected
     */
    readonly refuse: (retryAt: number) => void;
}

/** Rates of an account in calls a second. */
export interface AccountRates {
    readonly arrivals: DecayingRate;
    readonly starts: DecayingRate;
}

import { computeFairShares } from "../admission/fairShares.js";
import type { AccountRates, WaitingCall } from "./waitingCall.js";

/** Waiting calls in the order in which they are started: first those by which their account stays within its share. */
export interface OrderedCalls {
    readonly within: readonly WaitingCall[];
    readonly beyond: readonly WaitingCall[];
}

/**
 * Orders waiting calls: first those by which their account stays within its share, then the others; in both, the more
 * urgent first, then the older. Shares are max-min fair, so what an account does not request is divided among the others.
 * @param perSecond calls a second that are started
 */
export function orderByShares(
    waiting: readonly WaitingCall[],
    accounts: ReadonlyMap<string | undefined, AccountRates>,
    perSecond: number,
    now: number,
): OrderedCalls {
    const byUrgency = waiting
        .map((call, index) => ({ call, index }))
        .sort((left, right) => left.call.priority - right.call.priority || left.index - right.index)
        .map(({ call }) => call);
    const rates = [...accounts];
    const claims = rates.map(([, { arrivals }]) => ({ weight: 1, demand: arrivals.perSecond(now) }));
    const shares = computeFairShares(perSecond, claims);
    /** Calls that an account may start until it has had its share. */
    const credits = new Map(
        rates.map(([account, { starts }], index) => [account, (shares[index] ?? 0) - starts.perSecond(now)] as const),
    );
    const within: WaitingCall[] = [];
    const beyond: WaitingCall[] = [];
    for (const call of byUrgency) {
        const credit = credits.get(call.account) ?? 0;
        credits.set(call.account, credit - 1);
        (credit > 0 ? within : beyond).push(call);
    }
    return { within, beyond };
}

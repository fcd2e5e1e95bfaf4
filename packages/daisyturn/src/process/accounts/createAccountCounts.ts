import { CallOutcome } from "../forwarding/forwardingMetrics.js";

/** Calls of one client account, or of all accounts that are not listed by themselves. */
export interface AccountCount {
    readonly account: string;
    readonly calls: number;
    readonly refused: number;
}

/** Counts the calls of client accounts since the start of the process. */
export interface AccountCounts {
    record(account: string | undefined, outcome: CallOutcome): void;
    /** Lists the accounts with the most calls, and all others together as {@link otherAccounts}. */
    list(): readonly AccountCount[];
}

/** Name under which the accounts with fewer calls are counted together. */
export const otherAccounts = "other";
/** Bounds the number of metric series. */
const listedAccounts = 20;

/** Creates the counts of one process. */
export function createAccountCounts(): AccountCounts {
    const counts = new Map<string, { calls: number; refused: number; }>();
    return {
        record: (account, outcome) => {
            if (account === undefined) {
                return;
            }
            const count = counts.get(account) ?? { calls: 0, refused: 0 };
            counts.set(account, count);
            count.calls += 1;
            count.refused += outcome === CallOutcome.Refused ? 1 : 0;
        },
        list: () => {
            const sorted = [...counts]
                .map(([account, count]): AccountCount => ({ account, ...count }))
                .sort((left, right) => right.calls - left.calls);
            const others = sorted.slice(listedAccounts);
            const sum = (amount: (count: AccountCount) => number) =>
                others.reduce((total, count) => total + amount(count), 0);
            const rest = {
                account: otherAccounts,
                calls: sum(({ calls }) => calls),
                refused: sum(({ refused }) => refused),
            };
            return [...sorted.slice(0, listedAccounts), ...others.length > 0 ? [rest] : []];
        },
    };
}

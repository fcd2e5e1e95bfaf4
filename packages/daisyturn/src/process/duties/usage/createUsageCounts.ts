/** Counts of requests by account. */
export type AccountCounts = ReadonlyMap<string, number>;

/** Counts of all processes by window. They only grow, and are merged by the larger value. */
export interface UsageCounts {
    add(window: number, source: string, account: string): void;
    /** Merges counts of a process's incarnation, which may be repeated, lost or out of order. */
    merge(window: number, source: string, counts: AccountCounts): void;
    /** Lists the counts of one window by incarnation. */
    list(window: number): ReadonlyMap<string, AccountCounts>;
    /** Returns the totals of one window by account, in the order of their names. */
    total(window: number): AccountCounts;
    listWindows(): readonly number[];
    /** Removes the windows before this one. */
    prune(firstWindow: number): void;
}

/** Creates empty counts. */
export function createUsageCounts(): UsageCounts {
    const windows = new Map<number, Map<string, Map<string, number>>>();

    const open = (window: number, source: string) => {
        const sources = windows.get(window) ?? new Map<string, Map<string, number>>();
        const counts = sources.get(source) ?? new Map<string, number>();
        windows.set(window, sources.set(source, counts));
        return counts;
    };

    return {
        add: (window, source, account) => {
            const counts = open(window, source);
            counts.set(account, (counts.get(account) ?? 0) + 1);
        },
        merge: (window, source, received) => {
            const counts = open(window, source);
            received.forEach((count, account) => counts.set(account, Math.max(count, counts.get(account) ?? 0)));
        },
        list: window => windows.get(window) ?? new Map(),
        total: window => {
            const totals = new Map<string, number>();
            for (const counts of windows.get(window)?.values() ?? []) {
                counts.forEach((count, account) => totals.set(account, (totals.get(account) ?? 0) + count));
            }
            return new Map([...totals].sort(([left], [right]) => left < right ? -1 : 1));
        },
        listWindows: () => [...windows.keys()],
        prune: firstWindow =>
            [...windows.keys()].filter(window => window < firstWindow).forEach(window => windows.delete(window)),
    };
}

import type { LoggedCall } from "./collectCalls.js";

/** Calls of one route, or of one client account, with the same outcome. Fields after the first three are medians, in milliseconds or tokens. */
export interface LedgerRow {
    /** The route or, in a summary by account, the client account. */
    readonly route: string;
    readonly outcome: string;
    readonly calls: number;
    readonly tokens?: number;
    readonly firstByte?: number;
    readonly longestPause?: number;
    readonly reading?: number;
    readonly forecastReading?: number;
}

/** Groups the calls of client accounts by account and outcome, sorted by these names. Other calls are left out. */
export function summarizeByAccount(calls: readonly LoggedCall[]): readonly LedgerRow[] {
    return summarizeCalls(
        calls.flatMap(({ account, ...call }) => account === undefined ? [] : { ...call, route: account }),
    );
}

/** Groups calls by route and outcome, sorted by these names. */
export function summarizeCalls(calls: readonly LoggedCall[]): readonly LedgerRow[] {
    const groups = new Map<string, LoggedCall[]>();
    for (const call of calls) {
        const key = `${call.route} ${call.outcome}`;
        const group = groups.get(key);
        if (group) {
            group.push(call);
        }
        else {
            groups.set(key, [call]);
        }
    }
    return [...groups].sort(([left], [right]) => left < right ? -1 : 1).map(([, group]) => summarizeGroup(group));
}

function summarizeGroup(group: readonly LoggedCall[]): LedgerRow {
    const median = (amount: (call: LoggedCall) => number | undefined) =>
        findMedian(group.map(amount).filter(value => value !== undefined));
    return {
        route: group[0]?.route ?? "",
        outcome: group[0]?.outcome ?? "",
        calls: group.length,
        tokens: median(call => call.tokens),
        firstByte: median(call => call.firstByte),
        longestPause: median(call => call.longestPause),
        reading: median(call => call.reading),
        forecastReading: median(call => call.forecastReading),
    };
}

/** Returns the median; of an even number of values, the lower of the two in the middle. */
function findMedian(values: readonly number[]): number | undefined {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.floor((sorted.length - 1) / 2)];
}

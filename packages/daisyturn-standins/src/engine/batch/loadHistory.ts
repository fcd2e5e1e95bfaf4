import type { LoadReport } from "daisyturn";

/** Load samples, from which delayed load reports are served. */
export interface LoadHistory {
    record(report: LoadReport): void;
    /** Returns the newest sample that is at least as old as the lag, or else the oldest sample. */
    findLagged(wallNow: number): LoadReport | undefined;
}

/** Creates an empty history. Times are real wall-clock milliseconds. */
export function createLoadHistory(lagMilliseconds: number): LoadHistory {
    let samples: LoadReport[] = [];

    const findLagged = (wallNow: number) => {
        const oldEnough = samples.filter(sample => sample.asOf <= wallNow - lagMilliseconds);
        return oldEnough.at(-1) ?? samples[0];
    };

    const record = (report: LoadReport) => {
        const reported = findLagged(report.asOf);
        samples = samples.filter(sample => reported === undefined || sample.asOf >= reported.asOf);
        samples.push(report);
    };

    return { record, findLagged };
}

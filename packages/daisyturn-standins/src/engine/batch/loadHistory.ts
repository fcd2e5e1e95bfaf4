import type { LoadReport } from "daisyturn";

/** Samples of the load, so that the report can lag. */
export interface LoadHistory {
    record(report: LoadReport): void;
    /** The newest sample that is at least as old as the lag; the oldest one if there is none. */
    lagging(wallNow: number): LoadReport | undefined;
}

/** Creates an empty history. Times are real wall-clock milliseconds. */
export function createLoadHistory(lagMilliseconds: number): LoadHistory {
    let samples: LoadReport[] = [];

    const lagging = (wallNow: number) => {
        const oldEnough = samples.filter(sample => sample.asOf <= wallNow - lagMilliseconds);
        return oldEnough.at(-1) ?? samples[0];
    };

    const record = (report: LoadReport) => {
        const reported = lagging(report.asOf);
        samples = samples.filter(sample => reported === undefined || sample.asOf >= reported.asOf);
        samples.push(report);
    };

    return { record, lagging };
}

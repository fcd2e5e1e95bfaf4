/** The calls of other processes at one target, as far as its reports tell. */
export interface Occupancy {
    /** Records the calls of other processes that run or wait. Reports older than the last one are ignored. */
    record(calls: number, reportedAt: number): void;
    /** The last report; undefined before the first. */
    last(): { readonly calls: number; readonly reportedAt: number; } | undefined;
    /** Mean of the reports of the last seconds. */
    usual(): number;
    /**
     * Estimates the calls at a monotonic time.
     * @param mean what a target of this size has in the mean of the service
     * @param turnover milliseconds in which a call ends there
     */
    estimate(time: number, mean: number, turnover: number): CallCountEstimate;
}

/** Expected number of calls, and the standard deviation of what is not known. */
export interface CallCountEstimate {
    readonly calls: number;
    readonly deviation: number;
}

const usualWindowMilliseconds = 5_000;

/** Creates the state of one target. */
export function createOccupancy(): Occupancy {
    let calls = 0;
    let reportedAt: number | undefined;
    let usual = 0;
    return {
        record: (count, time) => {
            if (reportedAt !== undefined && time < reportedAt) {
                return;
            }
            const kept = reportedAt === undefined ? 0 : Math.exp((reportedAt - time) / usualWindowMilliseconds);
            usual = usual * kept + count * (1 - kept);
            calls = count;
            reportedAt = time;
        },
        last: () => reportedAt === undefined ? undefined : { calls, reportedAt },
        usual: () => usual,
        // Calls that begin and end at random have this mean and this variance some time after a known count.
        estimate: (time, mean, turnover) => {
            const kept = reportedAt === undefined ? 0 : Math.exp(-Math.max(0, time - reportedAt) / turnover);
            return {
                calls: mean + (calls - mean) * kept,
                deviation: Math.sqrt((mean + (calls - mean) * kept) * (1 - kept)),
            };
        },
    };
}

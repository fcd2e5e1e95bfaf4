import { performance } from "node:perf_hooks";

/** Times of one process, in milliseconds. */
export interface ProcessTimes {
    /** Monotonic time. */
    now(): number;
    /** Processor time. On a busy machine, elapsed time also counts the work of other processes. */
    used(): number;
    /** Time in which the event loop had nothing to do. */
    idle(): number;
}

/** The times of this process. */
export const processTimes: ProcessTimes = {
    now: () => performance.now(),
    used: () => {
        const { user, system } = process.cpuUsage();
        return (user + system) / 1_000;
    },
    idle: () => performance.eventLoopUtilization().idle,
};

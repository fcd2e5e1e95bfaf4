import type { ProcessTimes } from "./processTimes.js";

/** Keeps a part of a process's time from connections that take much of it. */
export interface TimeForOthers {
    /** Whether the others have had their time, so that a connection without credit may read. */
    isOver(): boolean;
    /** Milliseconds until then if the process has nothing else to do. */
    remaining(): number;
    /** @param taken milliseconds of processor time that connections without credit have taken */
    leave(taken: number): void;
}

/** Part of the time that all connections without credit take together while others have work. */
const share = 0.2;
/** The same in a process that is idle otherwise; less than the utilization at which the connection guard begins to close. */
const idleShare = 1 / 3;
const othersPerTaken = 1 / share - 1;
/** Milliseconds of others' work that a millisecond without any work counts for. */
const idleWeight = othersPerTaken / (1 / idleShare - 1);

/** Creates the account of one process. */
export function createTimeForOthers(times: ProcessTimes): TimeForOthers {
    /** Time in which the process waits for a processor serves nobody, so it is not counted. */
    const measure = () => times.used() + idleWeight * times.idle();
    let due = -Infinity;

    return {
        isOver: () => measure() >= due,
        remaining: () => Math.max(0, due - measure()) / idleWeight,
        leave: taken => {
            due = Math.max(due, measure() + taken * othersPerTaken);
        },
    };
}

import type { CallRun } from "./callRun.js";

/** Callers wait for the first event of a stream for so long, or so many aims or allowed pauses, whichever is longest. */
const leastPatienceMilliseconds = 2_000;
const patienceAims = 4;
const patiencePauses = 8;

/** What a call is judged by. Times are monotonic. */
export interface JudgedCall {
    readonly call: Pick<CallRun["call"], "arrivedAt">;
    readonly route: Pick<CallRun["route"], "latencyAimMilliseconds" | "pauseAimMilliseconds">;
    readonly deadline: number;
}

/**
 * Monotonic time at which a caller leaves that has not had a first event. What would begin later is refused at once: the
 * caller knows, and no engine reads for nobody.
 */
export function findLeaveTime({ call, route, deadline }: JudgedCall): number {
    const { latencyAimMilliseconds, pauseAimMilliseconds = 0 } = route;
    const patience = Math.max(
        leastPatienceMilliseconds,
        patienceAims * latencyAimMilliseconds,
        patiencePauses * pauseAimMilliseconds,
    );
    return Math.min(call.arrivedAt + patience, deadline);
}

import type { CallContext } from "./callContext.js";

/** Callers wait for the first event of a stream for so long, or so many aims or allowed pauses, whichever is longest. */
const minPatienceMilliseconds = 2_000;
const patienceInAims = 4;
const patienceInPauses = 8;

/** What a call is judged by. Times are monotonic. */
export interface CallTiming {
    readonly call: Pick<CallContext["call"], "arrivedAt">;
    readonly route: Pick<CallContext["route"], "latencyAimMilliseconds" | "pauseAimMilliseconds">;
    readonly deadline: number;
}

/**
 * Monotonic time at which a caller leaves that has not had a first event. What would begin later is refused at once: the
 * caller knows, and no engine reads for nobody.
 */
export function computeAbandonmentTime({ call, route, deadline }: CallTiming): number {
    const { latencyAimMilliseconds, pauseAimMilliseconds = 0 } = route;
    const patience = Math.max(
        minPatienceMilliseconds,
        patienceInAims * latencyAimMilliseconds,
        patienceInPauses * pauseAimMilliseconds,
    );
    return Math.min(call.arrivedAt + patience, deadline);
}

import type { CallContext } from "./callContext.js";

/**
 * Callers are assumed to wait for the first event of a stream for the longest of three times: a minimum, a multiple of
 * the target latency, and a multiple of the target pause.
 */
const minPatienceMilliseconds = 2_000;
const patienceInAims = 4;
const patienceInPauses = 8;

/** Times that bound a call. `arrivedAt` and `deadline` are monotonic times in milliseconds. */
export interface CallTiming {
    readonly call: Pick<CallContext["call"], "arrivedAt">;
    readonly route: Pick<CallContext["route"], "latencyAimMilliseconds" | "pauseAimMilliseconds">;
    readonly deadline: number;
}

/**
 * Returns the monotonic time at which a caller that has received no event is assumed to abandon its call. A call whose
 * answer would start later is refused at once, so that the caller is informed and no engine prefills it in vain.
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

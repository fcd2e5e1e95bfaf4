import type { ArrivalMeter, RunningAdmission } from "daisyturn";

/** Counts every request before it is admitted or refused, so that the role planner sees the whole demand. */
export function createMeteredAdmission(inner: RunningAdmission, meter: ArrivalMeter): RunningAdmission {
    return {
        ...inner,
        admitModelRequest: (account, request, signal) => {
            meter.recordArrival(request);
            return inner.admitModelRequest(account, request, signal);
        },
    };
}

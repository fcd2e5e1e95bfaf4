import type { ArrivalMeter, RunningAdmission } from "daisyturn";

/** Counts every request before it is let in or refused, so that the role planner sees what is wanted. */
export function createMeteredAdmission(inner: RunningAdmission, meter: ArrivalMeter): RunningAdmission {
    return {
        ...inner,
        admitModelRequest: (account, request, signal) => {
            meter.recordArrival(request);
            return inner.admitModelRequest(account, request, signal);
        },
    };
}

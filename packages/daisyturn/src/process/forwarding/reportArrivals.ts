import { type Clock, EventKind, type EventLog } from "daisyturn-utils";
import type { ArrivalCounts, ServiceArrivals } from "./limits/createArrivalCounts.js";
import type { WindowedRetryBudget } from "./retries/createWindowedRetryBudget.js";

/** What {@link reportArrivals} needs. */
export interface ReportArrivalsOptions {
    readonly arrivalCounts: ArrivalCounts;
    readonly budget: Pick<WindowedRetryBudget, "status">;
    readonly clock: Clock;
    readonly eventLog: EventLog;
}

/** Interval between two reports. A killed process loses its counts since the last report. */
const reportIntervalMilliseconds = 2_000;

/** Logs a line for each service with repeats or denied retries since the last report, until the signal is aborted. */
export async function reportArrivals(options: ReportArrivalsOptions, signal: AbortSignal): Promise<void> {
    const { arrivalCounts, budget, clock, eventLog } = options;
    while (!signal.aborted) {
        await clock.sleepUntil(clock.monotonicNow() + reportIntervalMilliseconds, signal);
        arrivalCounts.drain().filter(isNotable).forEach(({ repeats, ...counts }) => {
            const { left, limit, leased, lent } = budget.status(counts.service);
            eventLog.record(EventKind.ArrivalsRepeated, {
                ...counts,
                left: Math.floor(left),
                limit: Math.floor(limit),
                leased,
                lent,
                repeats: [...repeats].map(([key, count]) => `${key}:${count}`).join(","),
            });
        });
    }
}

function isNotable({ repeats, retriesDenied }: ServiceArrivals): boolean {
    return repeats.size > 0 || retriesDenied > 0;
}

import type { Clock } from "daisyturn-utils";
import type { Cell } from "./createCell.js";
import type { DataPath } from "./createDataPath.js";
import type { MetricsClient } from "./createMeteredEventLog.js";

const reportIntervalMilliseconds = 5_000;

/** Periodically reports gauges of the process's state that can't be derived from events. */
export async function reportMetrics(
    metrics: MetricsClient,
    clock: Clock,
    cell: Cell,
    data: DataPath,
    signal: AbortSignal,
): Promise<void> {
    while (!signal.aborted) {
        metrics.gauge("configuration.generation", cell.configurationManager.current().generation);
        metrics.gauge("members.alive", cell.membership.livePeers().length + 1);
        metrics.gauge("lease.held", cell.leaseManager.current() ? 1 : 0);
        metrics.gauge("service.in", cell.serviceGuard.isInService() ? 1 : 0);
        metrics.gauge("store.available", cell.storeClient.isAvailable() ? 1 : 0);
        metrics.gauge("admission.waiting", data.admission.waitingRequests());
        metrics.gauge("engines.heard", data.loadView.loads().length);
        metrics.gauge("process.memory_bytes", process.memoryUsage.rss());
        await clock.sleepUntil(clock.monotonicNow() + reportIntervalMilliseconds, signal);
    }
}

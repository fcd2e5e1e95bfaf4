import type { ProcessIdentity } from "daisyturn";
import {
    type Clock,
    createHybridLogicalClock,
    createIdSource,
    createLogfmtEventLog,
    createSeededRandom,
    type EventLog,
    type HybridLogicalClock,
    type IdSource,
    type Random,
    SystemClock,
} from "daisyturn-utils";
import { StatsD } from "hot-shots";
import { randomInt } from "node:crypto";
import type { DaemonSettings } from "../settings/daemonSettings.js";
import { createIdentity } from "./createIdentity.js";
import { createLogWriter, type LogWriter } from "./createLogWriter.js";
import { createMeteredEventLog, type MetricsClient } from "./createMeteredEventLog.js";
import { createPlatform, type Platform } from "./createPlatform.js";

/** The basic services that the other parts of the process depend on. */
export interface Base {
    readonly clock: Clock;
    readonly self: ProcessIdentity;
    readonly hybridClock: HybridLogicalClock;
    readonly logWriter: LogWriter;
    readonly eventLog: EventLog;
    readonly random: Random;
    readonly ids: IdSource;
    readonly platform: Platform;
    readonly metrics: ProcessMetrics;
}

/** The metrics client of the process. */
export interface ProcessMetrics extends MetricsClient {
    /** Sends buffered metrics and closes the client. */
    close(): Promise<void>;
}

/** Below the MTU of common networks, so that datagrams are not fragmented. */
const metricsBufferBytes = 1_200;
const seedLimit = 0x7fffffff;

/** Creates clocks, identity, log and the adapters to the platform. */
export function createBase(settings: DaemonSettings): Base {
    const clock = new SystemClock();
    const self = createIdentity(settings, clock);
    const hybridClock = createHybridLogicalClock(clock);
    const logWriter = createLogWriter(settings.log.file);
    const metrics = createMetrics(settings);
    const lines = createLogfmtEventLog({
        processId: self.processId,
        incarnation: self.incarnation,
        hybridClock,
        writeLine: logWriter.writeLine,
    });
    const eventLog = createMeteredEventLog(lines, metrics);
    const random = createSeededRandom(randomInt(seedLimit));
    const ids = createIdSource(self.incarnation);
    const platform = createPlatform(settings.platform.url, clock);
    return { clock, self, hybridClock, logWriter, eventLog, random, ids, platform, metrics };
}

/** Without an address for metrics, the client formats nothing and sends nothing. */
function createMetrics(settings: DaemonSettings): ProcessMetrics {
    const client = new StatsD({
        ...settings.metrics ?? { mock: true },
        prefix: "daisyturn.",
        globalTags: { process: settings.process.id, cell: settings.cell.name },
        maxBufferSize: metricsBufferBytes,
        // Metrics are unacknowledged; a failed send must not affect a request.
        errorHandler: () => undefined,
    });
    // A mock client retains every metric in memory, so without an address no metrics are passed to it.
    const ignore = () => undefined;
    const calls: MetricsClient = settings.metrics ? client : { increment: ignore, timing: ignore, gauge: ignore };
    return {
        increment: calls.increment.bind(client),
        timing: calls.timing.bind(client),
        gauge: calls.gauge.bind(client),
        close: () => new Promise(resolve => client.close(() => resolve())),
    };
}

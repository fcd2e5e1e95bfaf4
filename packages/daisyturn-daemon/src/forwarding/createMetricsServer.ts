import type { Clock, EventLog } from "daisyturn-utils";
import {
    type Arrival,
    ByteSource,
    type CallOutcome,
    createAccountCounts,
    ForwardingMetrics,
    type ListenAddress,
    listenWhenFree,
    paceServer,
} from "daisyturn/forwarding";
import { createServer, type Server } from "node:http";
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import { type ObservedParts, registerGauges } from "./registerGauges.js";

/** Metrics of one process, served over HTTP in the Prometheus text format. */
export interface MetricsServer {
    readonly metrics: ForwardingMetrics;
    /** Registers the gauges, whose values are read at each scrape, and lets the server share the turns of the process. */
    observe(parts: ObservedParts): void;
    /** Records the platform's answer to a report of usage. */
    recordUsageReport(answer: string): void;
    /** Records an error that nothing caught. */
    recordUncaughtError(kind: string): void;
    /** Resolves once it listens or `signal` is aborted. */
    start(signal: AbortSignal, parts: { readonly clock: Clock; readonly eventLog: EventLog; }): Promise<boolean>;
    close(): void;
}

/** Upper bounds in seconds, around the target latencies of plain calls and of prompts. */
const latencyBuckets = [0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2.5, 5];
const millisecondsPerSecond = 1_000;

/** Creates the metrics and their server. Each label has few values, independent of the number of routes and targets. */
export function createMetricsServer(listen: ListenAddress): MetricsServer {
    const registry = new Registry();
    const registers = [registry];
    const firstByte = new Histogram({
        name: "daisyturn_first_byte_seconds",
        help: "From a call's arrival to the first byte of its answer",
        labelNames: ["kind"],
        buckets: latencyBuckets,
        registers,
    });
    const pauses = new Histogram({
        name: "daisyturn_longest_pause_seconds",
        help: "The longest time between two events of an answer",
        labelNames: ["kind"],
        buckets: latencyBuckets,
        registers,
    });
    const createCounter = <Label extends string>(name: string, help: string, labelNames: Label[]) =>
        new Counter({ name, help, labelNames, registers });
    const calls = createCounter("daisyturn_calls_total", "Calls by kind of route and by how they ended", [
        "kind",
        "outcome",
    ]);
    const sends = createCounter("daisyturn_sends_total", "Sends to targets by result", ["result"]);
    const abandonedSends = createCounter(
        "daisyturn_abandoned_sends_total",
        "Sends that were given up, by how much of the request was sent and by the reason",
        ["progress", "reason"],
    );
    const unreadable = createCounter(
        "daisyturn_unreadable_requests_total",
        "Connections from which no request could be read in time or at all, by the status that was sent",
        ["status"],
    );
    const readLimits = createCounter(
        "daisyturn_read_limits_total",
        "Connections and answers to which a limit on what the process reads applied, by who sent and by the limit",
        ["source", "limit"],
    );
    const requests = createCounter("daisyturn_requests_total", "Calls of callers by service", ["service"]);
    const arrivals = createCounter(
        "daisyturn_arrivals_total",
        "Sends that reached a target, or may have, by whether the fleet's retry budget counts them",
        ["service", "part", "result", "repeat"],
    );
    const retries = createCounter(
        "daisyturn_retries_total",
        "Retries that the retry budget of the fleet allowed or denied",
        ["service", "result"],
    );

    const relayedSends = createCounter(
        "daisyturn_relayed_sends_total",
        "Sends to targets over connections that a peer carries",
        [],
    );
    const resumptions = createCounter(
        "daisyturn_resumptions_total",
        "Calls that resume a stream, by whether a target may continue it",
        ["result"],
    );

    const accountCounts = createAccountCounts();
    new Gauge({
        name: "daisyturn_account_calls",
        help: "Calls since the start of the client accounts with the most calls, and of all others together",
        labelNames: ["account", "refused"],
        registers,
        collect() {
            this.reset();
            accountCounts.list().forEach(({ account, calls: all, refused }) => {
                this.set({ account, refused: "false" }, all - refused);
                this.set({ account, refused: "true" }, refused);
            });
        },
    });

    const tokens = createCounter(
        "daisyturn_quota_tokens_total",
        "Requests for tokens of the limits that targets name, by result",
        ["result"],
    );
    const usageReports = createCounter(
        "daisyturn_usage_reports_total",
        "Reports of usage by the platform's answer",
        ["answer"],
    );

    const uncaughtErrors = createCounter(
        "daisyturn_uncaught_errors_total",
        "Exceptions and rejections that nothing caught",
        ["kind"],
    );
    const queued = createCounter(
        "daisyturn_queued_calls_total",
        "Calls that waited because all targets of their service were full, by how the wait ended",
        ["result"],
    );
    class RegistryMetrics extends ForwardingMetrics {
        override recordCall(kind: string, outcome: CallOutcome, milliseconds: number, longestPause: number): void {
            calls.inc({ kind, outcome });
            firstByte.observe({ kind }, milliseconds / millisecondsPerSecond);
            if (longestPause > 0) {
                pauses.observe({ kind }, longestPause / millisecondsPerSecond);
            }
        }

        override recordAccountCall(account: string | undefined, outcome: CallOutcome): void {
            accountCounts.record(account, outcome);
        }

        override recordSend(result: string): void {
            sends.inc({ result });
        }

        override recordAbandonedSend(progress: string, reason: string): void {
            abandonedSends.inc({ progress, reason });
        }

        override recordUnreadable(status: string): void {
            unreadable.inc({ status });
        }

        override recordReadLimit(source: ByteSource, limit: string): void {
            readLimits.inc({ source, limit });
        }

        override recordRequest(service: string): void {
            requests.inc({ service });
        }

        override recordArrival({ service, part, result, isRepeat }: Arrival): void {
            arrivals.inc({ service, part, result, repeat: String(isRepeat) });
        }

        override recordRetry(service: string, isAcquired: boolean): void {
            retries.inc({ service, result: isAcquired ? "acquired" : "denied" });
        }

        override recordResumption(result: string): void {
            resumptions.inc({ result });
        }

        override recordQueued(result: string): void {
            queued.inc({ result });
        }

        override recordToken(result: string): void {
            tokens.inc({ result });
        }

        override recordRelayedSend(): void {
            relayedSends.inc();
        }
    }

    const server = createScrapeServer(registry);
    return {
        metrics: new RegistryMetrics(),
        observe: parts => {
            registerGauges(parts, registers);
            paceServer(server, parts.readTurns, ByteSource.Operator);
        },
        recordUsageReport: answer => usageReports.inc({ answer }),
        recordUncaughtError: kind => uncaughtErrors.inc({ kind }),
        start: (signal, { clock, eventLog }) =>
            listenWhenFree(server, listen, { listener: "metrics", isOptional: true, signal, clock, eventLog }),
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}

function createScrapeServer(registry: Registry): Server {
    return createServer((incoming, outgoing) => {
        incoming.resume();
        void registry.metrics().then(text => {
            outgoing.writeHead(200, { "Content-Type": registry.contentType });
            outgoing.end(text);
        }, () => outgoing.destroy());
    });
}

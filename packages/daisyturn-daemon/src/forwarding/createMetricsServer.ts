import {
    type Arrival,
    type CallOutcome,
    type ConnectionGuard,
    type CrashEvidence,
    ForwardingMetrics,
    type ForwardingParts,
    type ListenAddress,
    listenAt,
    type TargetLinks,
    type TunnelServer,
} from "daisyturn/forwarding";
import { createServer } from "node:http";
import { Counter, Gauge, Histogram, Registry } from "prom-client";

/** Metrics of one process, served over HTTP in the Prometheus text format. */
export interface MetricsServer {
    readonly metrics: ForwardingMetrics;
    /** Registers the gauges, whose values are read at each scrape. */
    observe(parts: ObservedParts): void;
    start(): Promise<void>;
    close(): void;
}

/** The parts from which gauges are read. */
export interface ObservedParts extends Pick<ForwardingParts, "configurationManager" | "targets" | "budget"> {
    readonly links: Pick<TargetLinks, "lostCount">;
    readonly tunnels: Pick<TunnelServer, "carried">;
    readonly crashEvidence: Pick<CrashEvidence, "countListed">;
    readonly connectionGuard: Pick<ConnectionGuard, "countClosed">;
}

/** Upper bounds in seconds, around the target latencies of plain calls and of prompts. */
const latencyBuckets = [0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2.5, 5];
const millisecondsPerSecond = 1_000;

/** Creates the metrics and their server. Each label has few values, independent of the number of routes and targets. */
export function createMetricsServer(listen: ListenAddress): MetricsServer {
    const registry = new Registry();
    const registers = [registry];
    const calls = new Counter({
        name: "daisyturn_calls_total",
        help: "Calls by kind of route and by how they ended",
        labelNames: ["kind", "outcome"],
        registers,
    });
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
    const sends = new Counter({
        name: "daisyturn_sends_total",
        help: "Sends to targets by result",
        labelNames: ["result"],
        registers,
    });

    const requests = new Counter({
        name: "daisyturn_requests_total",
        help: "Calls of callers by service",
        labelNames: ["service"],
        registers,
    });
    const arrivals = new Counter({
        name: "daisyturn_arrivals_total",
        help: "Sends that reached a target, or may have, by whether the fleet's retry budget counts them",
        labelNames: ["service", "part", "result", "repeat"],
        registers,
    });
    const retries = new Counter({
        name: "daisyturn_retries_total",
        help: "Retries that the retry budget of the fleet allowed or denied",
        labelNames: ["service", "result"],
        registers,
    });

    const relayedSends = new Counter({
        name: "daisyturn_relayed_sends_total",
        help: "Sends to targets over connections that a peer carries",
        registers,
    });

    const resumptions = new Counter({
        name: "daisyturn_resumptions_total",
        help: "Calls that resume a stream, by whether a target may continue it",
        labelNames: ["result"],
        registers,
    });

    class RegistryMetrics extends ForwardingMetrics {
        override recordCall(kind: string, outcome: CallOutcome, milliseconds: number, longestPause: number): void {
            calls.inc({ kind, outcome });
            firstByte.observe({ kind }, milliseconds / millisecondsPerSecond);
            if (longestPause > 0) {
                pauses.observe({ kind }, longestPause / millisecondsPerSecond);
            }
        }

        override recordSend(result: string): void {
            sends.inc({ result });
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

        override recordRelayedSend(): void {
            relayedSends.inc();
        }
    }

    const observe = (parts: ObservedParts) => {
        const { configurationManager, targets, budget, links, tunnels, crashEvidence, connectionGuard } = parts;
        new Gauge({
            name: "daisyturn_listed_suspects",
            help:
                "Requests and parts of prompts that are kept out of targets, because several of them ended under these",
            registers,
            collect() {
                this.set(crashEvidence.countListed());
            },
        });
        new Gauge({
            name: "daisyturn_closed_connections",
            help: "New connections that were closed unread since the start, because other processes had room for them",
            registers,
            collect() {
                this.set(connectionGuard.countClosed());
            },
        });
        new Gauge({
            name: "daisyturn_retry_budget_left",
            help: "Repeats that this process may send now without leases, by service",
            labelNames: ["service"],
            registers,
            collect() {
                this.reset();
                const services = configurationManager.current()?.configuration.services.keys() ?? [];
                [...services].forEach(service => this.set({ service }, budget.status(service).left));
            },
        });
        new Gauge({
            name: "daisyturn_lost_links",
            help: "Links to targets that are lost while a peer reaches the target",
            registers,
            collect() {
                this.set(links.lostCount());
            },
        });
        new Gauge({
            name: "daisyturn_carried_tunnels",
            help: "Connections of peers to targets that this process carries",
            registers,
            collect() {
                this.set(tunnels.carried());
            },
        });
        new Gauge({
            name: "daisyturn_configuration_version",
            help: "Version of the configuration in force; 0 before the first",
            registers,
            collect() {
                this.set(configurationManager.current()?.configuration.version ?? 0);
            },
        });
        new Gauge({
            name: "daisyturn_open_targets",
            help: "Targets that take new work, by service",
            labelNames: ["service"],
            registers,
            collect() {
                this.reset();
                const services = configurationManager.current()?.configuration.services.keys() ?? [];
                [...services].forEach(service => this.set({ service }, targets.open(service).length));
            },
        });
    };

    const server = createServer((incoming, outgoing) => {
        incoming.resume();
        void registry.metrics().then(text => {
            outgoing.writeHead(200, { "Content-Type": registry.contentType });
            outgoing.end(text);
        }, () => outgoing.destroy());
    });
    return {
        metrics: new RegistryMetrics(),
        observe,
        start: () => listenAt(server, listen),
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}

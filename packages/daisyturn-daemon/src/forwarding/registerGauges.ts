import {
    type ConnectionGuard,
    type CrashEvidence,
    EngineStage,
    type ForwardingParts,
    type TargetAvailability,
    type TargetLimits,
    type TargetLinks,
    type TargetSpeeds,
    type TunnelServer,
} from "daisyturn/forwarding";
import { Gauge, type Registry } from "prom-client";

/** The parts from which gauges are read. */
export interface ObservedParts extends Pick<ForwardingParts, "configurationManager" | "targets" | "budget"> {
    readonly links: Pick<TargetLinks, "lostCount">;
    readonly limits: Pick<TargetLimits, "count">;
    readonly speeds: Pick<TargetSpeeds, "listNotable">;
    readonly availability: Pick<TargetAvailability, "countResting">;
    readonly tunnels: Pick<TunnelServer, "carried">;
    readonly crashEvidence: Pick<CrashEvidence, "countListed">;
    readonly connectionGuard: Pick<ConnectionGuard, "countClosed">;
}

/** Registers the gauges of one process, whose values are read at each scrape. */
export function registerGauges(parts: ObservedParts, registers: Registry[]): void {
    const {
        configurationManager,
        targets,
        budget,
        links,
        limits,
        speeds,
        availability,
        tunnels,
        crashEvidence,
        connectionGuard,
    } = parts;
    new Gauge({
        name: "daisyturn_listed_suspects",
        help: "Requests and parts of prompts that are kept out of targets, because several of them ended under these",
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
        name: "daisyturn_resting_targets",
        help: "Targets that have turned a call of this process away and asked for a rest",
        registers,
        collect() {
            this.set(availability.countResting());
        },
    });
    new Gauge({
        name: "daisyturn_target_duration_factor",
        help:
            "Expected duration of a plain call relative to the mean of the service, for the 20 targets that differ most",
        labelNames: ["service", "target"],
        registers,
        collect() {
            this.reset();
            speeds.listNotable().forEach(({ target: { service, name }, factor }) =>
                this.set({ service, target: name }, factor)
            );
        },
    });
    new Gauge({
        name: "daisyturn_limited_targets",
        help: "Targets that name a limit of requests a second in their answers",
        registers,
        collect() {
            this.set(limits.count());
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
        name: "daisyturn_open_engines",
        help: "Engines that take new work, by service and stage",
        labelNames: ["service", "stage"],
        registers,
        collect() {
            this.reset();
            const services = configurationManager.current()?.configuration.services.values() ?? [];
            for (const { name: service } of [...services].filter(({ engine }) => engine !== undefined)) {
                for (const stage of Object.values(EngineStage)) {
                    const engines = targets.open(service).filter(target => target.stage === stage);
                    this.set({ service, stage }, engines.length);
                }
            }
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
}

import {
    type ConnectionGuard,
    type CrashEvidence,
    type EngineNumbers,
    EngineStage,
    type ForwardingParts,
    type PlainShortage,
    type Quotas,
    type TargetAvailability,
    type TargetLimits,
    type TargetLinks,
    type TargetSpeeds,
    type TunnelServer,
} from "daisyturn/forwarding";
import { Gauge, type Registry } from "prom-client";
import { type ObservedAnswers, registerAnswerGauges } from "./registerAnswerGauges.js";

/** The parts from which gauges are read. */
export interface ObservedParts
    extends ObservedAnswers, Pick<ForwardingParts, "configurationManager" | "targets" | "budget" | "continuity"> {
    readonly links: Pick<TargetLinks, "lostCount">;
    readonly limits: Pick<TargetLimits, "count">;
    readonly speeds: Pick<TargetSpeeds, "listNotable">;
    readonly availability: Pick<TargetAvailability, "countResting" | "countThrottled">;
    readonly quotas: Pick<Quotas, "countHomes">;
    readonly shortage: Pick<PlainShortage, "countWaiting">;
    readonly tunnels: Pick<TunnelServer, "carried">;
    readonly crashEvidence: Pick<CrashEvidence, "countListed">;
    readonly connectionGuard: Pick<ConnectionGuard, "countClosed">;
    /** Ordered and listed engines; empty while another process orders. */
    readonly listEngineNumbers?: () => readonly EngineNumbers[];
    /** Whether this process has the duties of the fleet. */
    readonly holdsDuties: () => boolean;
}

/** Registers the gauges of one process, whose values are read at each scrape. */
export function registerGauges(parts: ObservedParts, registers: Registry[]): void {
    const {
        configurationManager,
        budget,
        links,
        limits,
        speeds,
        availability,
        quotas,
        shortage,
        tunnels,
        crashEvidence,
        connectionGuard,
        holdsDuties,
    } = parts;
    registerAnswerGauges(parts, registers);
    new Gauge({
        name: "daisyturn_duties_held",
        help: "1 while this process has the duties of the fleet, otherwise 0",
        registers,
        collect() {
            this.set(holdsDuties() ? 1 : 0);
        },
    });
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
        name: "daisyturn_throttled_targets",
        help: "Targets that this process sends nothing to at the moment, because they are at the limit that they name",
        registers,
        collect() {
            this.set(availability.countThrottled());
        },
    });
    new Gauge({
        name: "daisyturn_quota_homes",
        help: "Quotas of the fleet whose tokens this process grants",
        registers,
        collect() {
            this.set(quotas.countHomes());
        },
    });
    new Gauge({
        name: "daisyturn_waiting_calls",
        help: "Calls that wait because all targets of their service are full",
        registers,
        collect() {
            this.set(shortage.countWaiting());
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
    registerTargetNumbers(parts, registers);
    registerEngineNumbers(parts, registers);
}

function registerTargetNumbers(
    { configurationManager, targets, continuity }: ObservedParts,
    registers: Registry[],
): void {
    new Gauge({
        name: "daisyturn_targets_kept_closed",
        help: "Listed targets that get no work, although their rows list them as open, since they have left before",
        registers,
        collect() {
            this.set(targets.countKeptClosed());
        },
    });
    new Gauge({
        name: "daisyturn_unconfirmed_targets",
        help:
            "Targets that may have restarted, as connections of this process to them broke; no stream is resumed there",
        registers,
        collect() {
            this.set(continuity.countUnconfirmed());
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

function registerEngineNumbers({ listEngineNumbers = () => [] }: ObservedParts, registers: Registry[]): void {
    const labelNames = ["service", "zone", "kind"] as const;
    new Gauge({
        name: "daisyturn_desired_engines",
        help: "Engines that this process has ordered, by service, zone and kind; none while another process orders",
        labelNames,
        registers,
        collect() {
            this.reset();
            listEngineNumbers().forEach(({ service, zone, kind, desired }) =>
                this.set({ service, zone, kind }, desired)
            );
        },
    });
    new Gauge({
        name: "daisyturn_listed_engines",
        help: "Engines that take new work, by service, zone and kind, at the process that orders",
        labelNames,
        registers,
        collect() {
            this.reset();
            listEngineNumbers().forEach(({ service, zone, kind, listed }) => this.set({ service, zone, kind }, listed));
        },
    });
}

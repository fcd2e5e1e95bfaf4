import type { Clock, EventLog, Random } from "daisyturn-utils";
import {
    createCacheBeliefs,
    createCallPlacement,
    createClosedTargets,
    createForwardingKeeper,
    createPaceView,
    createReadingDemand,
    createTargetConnections,
    createTargetHealth,
    createTargetList,
    createTargetLoads,
    createWindowedRetryBudget,
    type ForwardingKeeper,
    type ForwardingMetrics,
    type ForwardingParts,
    type TargetList,
} from "daisyturn/forwarding";
import type { ForwardingAdapters } from "./forwardingAdapters.js";
import type { ForwardingSettings } from "./forwardingSettings.js";

/** What {@link createForwardingParts} needs. */
export interface ForwardingPartsOptions {
    readonly adapters: ForwardingAdapters;
    /** Asked anew on each use: settings may change while the process runs. */
    readonly settings: () => ForwardingSettings;
    readonly clock: Clock;
    readonly random: Random;
    readonly eventLog: EventLog;
    readonly metrics: ForwardingMetrics;
}

/** The parts of one process, with the followers of the tables that feed them. */
export interface ForwardingProcessParts extends ForwardingParts {
    readonly keeper: ForwardingKeeper;
    readonly targets: TargetList;
}

/** Creates the parts that a forwarded call passes through, and ties them to the coming and going of targets. */
export function createForwardingParts(options: ForwardingPartsOptions): ForwardingProcessParts {
    const { adapters, settings, clock, random, eventLog, metrics } = options;
    const keeper = createForwardingKeeper({
        key: adapters.configurationKey,
        decode: adapters.decodeConfiguration,
        eventLog,
    });
    const targets = createTargetList({ decode: adapters.decodeTarget, clock, eventLog });
    const loads = createTargetLoads(clock);
    const health = createTargetHealth(clock, eventLog);
    const caches = createCacheBeliefs(clock);
    const paces = createPaceView();
    const demand = createReadingDemand(clock);
    const closed = createClosedTargets(clock);
    const connections = createTargetConnections(clock);
    const placement = createCallPlacement({
        targets,
        loads,
        health,
        caches,
        paces,
        closed,
        random,
        availabilityZone: settings().availabilityZone,
    });
    const budget = createWindowedRetryBudget(clock, () => settings().retries);
    targets.onGone(targetId => [loads, health, caches, paces].forEach(view => view.forget(targetId)));
    return {
        keeper,
        targets,
        loads,
        health,
        caches,
        paces,
        demand,
        closed,
        placement,
        budget,
        connections,
        protocol: adapters.targetProtocol,
        metrics,
        clock,
        eventLog,
    };
}

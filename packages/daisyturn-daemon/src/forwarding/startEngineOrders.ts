import type { Clock, EventLog } from "daisyturn-utils";
import {
    type Coordination,
    type EngineOrderCalls,
    type EngineOrdering,
    measureWork,
    orderEngines,
    type ScaledService,
} from "daisyturn/forwarding";
import type { ForwardingProcessParts } from "./createForwardingParts.js";

/** What {@link startEngineOrders} needs. */
export interface EngineOrdersOptions {
    readonly parts: Pick<
        ForwardingProcessParts,
        "configurationManager" | "targets" | "leastDemand" | "firstReads" | "loads" | "caches"
    >;
    readonly coordination: Pick<Coordination, "knowsFleet" | "listPeers">;
    /** Sends orders under the lease of the fleet's duties. */
    readonly calls: EngineOrderCalls;
    /** Whether this process may order at the moment. */
    readonly mayOrder: () => boolean;
    readonly clock: Clock;
    readonly eventLog: EventLog;
    readonly signal: AbortSignal;
}

/** Starts the task that orders the engines of the services whose configuration says how many there may be. */
export function startEngineOrders(options: EngineOrdersOptions): EngineOrdering {
    const { parts, coordination, calls, mayOrder, clock, eventLog, signal } = options;
    const findService = (name: string) => parts.configurationManager.current()?.configuration.services.get(name);
    const ordering = orderEngines({
        listServices: () => listScaledServices(parts),
        listEngines: parts.targets.list,
        measureWork: service =>
            parts.targets.isKnown() && coordination.knowsFleet()
                ? measureWork(service, parts.targets.list(service), findService(service)?.engine?.kvTokens ?? 0, parts)
                : undefined,
        countProcesses: () => countByZone(coordination.listPeers().map(peer => peer.availabilityZone)),
        calls,
        mayOrder: () => mayOrder() && parts.targets.isKnown(),
        clock,
        eventLog,
    });
    void ordering.run(signal);
    return ordering;
}

function listScaledServices(parts: EngineOrdersOptions["parts"]): readonly ScaledService[] {
    const services = parts.configurationManager.current()?.configuration.services.values() ?? [];
    return [...services].flatMap(({ name, engine, scaling }) => engine && scaling ? [{ name, scaling }] : []);
}

function countByZone(zones: readonly string[]): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    zones.forEach(zone => counts.set(zone, (counts.get(zone) ?? 0) + 1));
    return counts;
}

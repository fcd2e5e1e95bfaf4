import { type Clock, createIdSource, type EventLog, type Random } from "daisyturn-utils";
import { changeStages, type Coordination, createLeaseManager, createStoreClient } from "daisyturn/forwarding";
import type { ForwardingProcessParts } from "./createForwardingParts.js";
import type { ForwardingAdapters } from "./forwardingAdapters.js";
import type { ForwardingSettings } from "./forwardingSettings.js";

/** What {@link startStageChanges} needs. */
export interface StageChangesOptions {
    readonly settings: ForwardingSettings;
    readonly adapters: ForwardingAdapters;
    readonly parts: ForwardingProcessParts;
    readonly incarnation: string;
    readonly coordination: Pick<Coordination, "isFleetCoordinator" | "isReader" | "closingReportInterval">;
    /** Whether this process may send orders at the moment. */
    readonly mayOrder: () => boolean;
    readonly clock: Clock;
    readonly random: Random;
    readonly eventLog: EventLog;
    readonly signal: AbortSignal;
}

const leaseName = "stages";
/** Only lease rows are written and read: a few calls per second while an order is due, none otherwise. */
const storeCallsPerSecond = 10;
const renewalIntervalMilliseconds = 1_000;
/** The waiting time for a dead holder's lease counts from the first read after its last renewal. */
const pollIntervalMilliseconds = 300;
/** Datagrams may be lost, so an engine stays closed before an order until its closing was reported this many times. */
const datagramsBeforeOrder = 3;

/** Starts the task that changes the stages of engines, and the lease under which it sends its orders. */
export function startStageChanges(options: StageChangesOptions): void {
    const { settings, adapters, parts, incarnation, coordination, mayOrder, clock, random, eventLog, signal } = options;
    const { processId, availabilityZone, leaseMilliseconds } = settings;
    const { tableService, storeEra, engineOrders } = adapters;
    const isPlanner = () => mayOrder() && coordination.isFleetCoordinator();
    const storeClient = createStoreClient({
        tableService,
        clock,
        random,
        eventLog,
        writesPerSecond: storeCallsPerSecond,
        readsPerSecond: storeCallsPerSecond,
        signal,
    });
    const peerAddress = `${settings.peers.address}:${settings.peers.port}`;
    const leaseManager = createLeaseManager({
        name: leaseName,
        self: { processId, incarnation, vmId: processId, availabilityZone, peerAddress },
        storeClient,
        clock,
        random,
        ids: createIdSource(incarnation),
        eventLog,
        leaseMilliseconds,
        renewalIntervalMilliseconds,
        pollIntervalMilliseconds,
        mayTakeOver: isPlanner,
        storeEra: storeEra.current,
    });
    void changeStages({
        holder: processId,
        listServices: () => listEngineServices(parts),
        kvTokens: service =>
            parts.configurationManager.current()?.configuration.services.get(service)?.engine?.kvTokens ?? 0,
        targets: parts.targets,
        loads: parts.loads,
        health: parts.health,
        demand: parts.demand,
        closed: parts.closed,
        orders: engineOrders,
        leaseManager,
        isPlanner,
        isStandby: () => mayOrder() && coordination.isReader(),
        mayOrder,
        leaseMilliseconds,
        closingMilliseconds: () => coordination.closingReportInterval() * datagramsBeforeOrder,
        clock,
        eventLog,
    }, signal);
}

function listEngineServices(parts: ForwardingProcessParts): readonly string[] {
    const services = parts.configurationManager.current()?.configuration.services.values() ?? [];
    return [...services].filter(service => service.engine !== undefined).map(service => service.name);
}

import { type Clock, createIdSource, type EventLog, type Random } from "daisyturn-utils";
import { changeStages, createLeaseManager, createStoreClient } from "daisyturn/forwarding";
import type { ForwardingProcessParts } from "./createForwardingParts.js";
import type { ForwardingAdapters } from "./forwardingAdapters.js";
import type { ForwardingSettings } from "./forwardingSettings.js";

/** What {@link startStageChanges} needs. */
export interface StageChangesOptions {
    readonly settings: ForwardingSettings;
    readonly adapters: ForwardingAdapters;
    readonly parts: ForwardingProcessParts;
    readonly incarnation: string;
    readonly isPlanner: () => boolean;
    /** Maximum interval, in milliseconds, between two datagrams to any coordinator while an engine is closed. */
    readonly closingReportInterval: () => number;
    readonly clock: Clock;
    readonly random: Random;
    readonly eventLog: EventLog;
    readonly signal: AbortSignal;
}

const leaseName = "stages";
/** Only lease rows are written and read: a few calls per second while an order is due, none otherwise. */
const storeCallsPerSecond = 10;
const renewalIntervalMilliseconds = 1_000;
/** Datagrams may be lost, so an engine stays closed before an order until its closing was reported this many times. */
const datagramsBeforeOrder = 3;

/** Starts the task that changes the stages of engines, and the lease under which it sends its orders. */
export function startStageChanges(options: StageChangesOptions): void {
    const { settings, adapters, parts, incarnation, clock, random, eventLog, signal } = options;
    const { processId, availabilityZone, leaseMilliseconds } = settings;
    const { tableService, storeEra, engineOrders } = adapters;
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
        isPlanner: options.isPlanner,
        leaseMilliseconds,
        closingMilliseconds: () => options.closingReportInterval() * datagramsBeforeOrder,
        clock,
        eventLog,
    }, signal);
}

function listEngineServices(parts: ForwardingProcessParts): readonly string[] {
    const services = parts.configurationManager.current()?.configuration.services.values() ?? [];
    return [...services].filter(service => service.engine !== undefined).map(service => service.name);
}

import type { Clock, EventLog, Random } from "daisyturn-utils";
import {
    type CrashEvidence,
    createAnswerMemory,
    createArrivalCounts,
    createCallPlacement,
    createCrashEvidence,
    createCrashGuard,
    createForwardingConfigurationManager,
    createHttpTunnels,
    createLeastRunningPlacement,
    createLongPrefillTimes,
    createPlainShortage,
    createReadBarrier,
    createReadTurns,
    createRelays,
    createRunDurations,
    createSizeCounts,
    createSizeFairness,
    createStageReturns,
    createStreamOrigins,
    createTableConfirmation,
    createTargetConnections,
    createTargetDialer,
    createTargetViews,
    createVersionHistory,
    createVersionRecord,
    createWindowedRetryBudget,
    defaultSampledCalls,
    type ForwardingConfigurationManager,
    type ForwardingMetrics,
    type ForwardingParts,
    type ReadTurns,
    type RegisteredPeer,
    switchOffViews,
    type TableConfirmation,
    type TargetLinks,
    type TargetList,
    type VersionHistory,
    type VersionRecord,
} from "daisyturn/forwarding";
import { randomUUID } from "node:crypto";
import { computeMaxStateAge } from "./computeStateAge.js";
import type { ForwardingAdapters } from "./forwardingAdapters.js";
import { type ForwardingSettings, PlacementPolicy } from "./forwardingSettings.js";

/** What {@link createForwardingParts} needs. */
export interface ForwardingPartsOptions {
    readonly adapters: ForwardingAdapters;
    /** Called on each use, because settings may be reloaded while the process runs. */
    readonly settings: () => ForwardingSettings;
    readonly clock: Clock;
    readonly random: Random;
    readonly eventLog: EventLog;
    readonly metrics: ForwardingMetrics;
    /** Lists the known processes of the fleet, including this one. */
    readonly listPeers: () => readonly RegisteredPeer[];
    /** Number of processes in the fleet; undefined if it is not known. */
    readonly countProcesses: () => number | undefined;
    /** Requests that the list of processes be read again. */
    readonly refreshPeers: () => void;
}

/**
 * The parts of one process without those that need the other processes of the fleet, and with the observers of the
 * tables.
 */
export interface ForwardingProcessParts
    extends Omit<ForwardingParts, "decisions" | "findOrigin" | "requestRetryLease" | "targetQuotas"> {
    readonly configurationManager: ForwardingConfigurationManager;
    /** When the table with the keys of client accounts was last known to be complete. */
    readonly keyConfirmation: TableConfirmation;
    readonly targets: TargetList;
    readonly links: TargetLinks;
    readonly readTurns: ReadTurns;
    readonly crashEvidence: CrashEvidence;
    readonly versionRecord: VersionRecord;
    readonly versions: VersionHistory;
}

/** Creates the parts that a forwarded call passes through. */
export function createForwardingParts(options: ForwardingPartsOptions): ForwardingProcessParts {
    const { adapters, settings, clock, random, eventLog, metrics } = options;
    const configurationManager = createForwardingConfigurationManager({
        key: adapters.configurationKey,
        decode: adapters.decodeConfiguration,
        eventLog,
    });
    const { availabilityZone, placement: policy, sampledCalls = defaultSampledCalls } = settings();
    const switchedOff = settings().switchedOff ?? new Set();
    const { decodeTarget, engineOrders } = adapters;
    const views = switchOffViews(createTargetViews(decodeTarget, clock, eventLog, engineOrders), switchedOff);
    const relays = createRelays({
        selfId: settings().processId,
        availabilityZone,
        listPeers: options.listPeers,
        refreshPeers: options.refreshPeers,
        random,
        clock,
    });
    const openTunnel = createHttpTunnels(settings().peers.address);
    const dialer = createTargetDialer({ links: views.links, relays, openTunnel, clock });
    const readBarrier = createReadBarrier(clock);
    const readTurns = createReadTurns();
    const { targets, continuity } = views;
    const connections = createTargetConnections(clock, views.links, dialer, readBarrier, readTurns, {
        recordBroken: (address, how) =>
            targets.findAt(address).forEach(id => continuity.recordBroken(id, how, () => dialer.probe(address))),
        recordOpened: (address, dialedAt) =>
            targets.findAt(address).forEach(id => continuity.recordOpened(id, dialedAt)),
    });
    const placement = policy === PlacementPolicy.LeastRunning
        ? createLeastRunningPlacement(views)
        : createCallPlacement({ ...views, random, availabilityZone, switchedOff });
    const shortage = createPlainShortage({
        ...views,
        // A deployment without client accounts has no shares to keep, and is served as before.
        isActive: () => configurationManager.current()?.configuration.accounts !== undefined,
        recordQueued: result => metrics.recordQueued(result),
        clock,
    });
    views.targets.onRemoved(shortage.forget);
    const crashEvidence = createCrashEvidence(clock, eventLog);
    const crashGuard = createCrashGuard({
        evidence: crashEvidence,
        probe: dialer.probe,
        isExpected: views.targets.isOpen,
        clock,
        eventLog,
    });
    views.targets.onRemoved((targetId, removal) => crashGuard.recordRemoval(removal));
    const origins = createStreamOrigins(clock);
    const versionRecord = createVersionRecord({
        tableService: adapters.tableService,
        targets: views.targets,
        origins,
        writerId: randomUUID(),
        clock,
        random,
    });
    const versions = createVersionHistory(views.targets, versionRecord, clock);
    const sizeFairness = createSizeFairness();
    const budget = createWindowedRetryBudget({
        allowance: () => settings().retries,
        countProcesses: options.countProcesses,
        clock,
    });
    const keyConfirmation = createTableConfirmation(clock, () => computeMaxStateAge(settings()));
    return {
        ...views,
        keyConfirmation,
        areKeysCurrent: () => {
            const { revocation } = settings();
            return !revocation?.isClosed || keyConfirmation.isWithin(revocation.milliseconds);
        },
        stageReturns: createStageReturns(views.targets, clock),
        configurationManager,
        shortage,
        placement,
        availabilityZone,
        budget,
        connections,
        answerMemory: createAnswerMemory({ clock }),
        readBarrier,
        readTurns,
        protocol: adapters.targetProtocol,
        metrics,
        arrivalCounts: createArrivalCounts(),
        sizeCounts: createSizeCounts(),
        runDurations: createRunDurations(),
        sizeFairness,
        crashEvidence,
        crashGuard,
        origins,
        versionRecord,
        versions,
        longPrefillTimes: createLongPrefillTimes(),
        switchedOff,
        sampledCalls,
        clock,
        eventLog,
    };
}

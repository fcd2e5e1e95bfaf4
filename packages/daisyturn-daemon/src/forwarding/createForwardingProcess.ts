import { createSeededRandom, EventKind, SystemClock } from "daisyturn-utils";
import {
    coordinate,
    createOverloadGuard,
    createTunnelServer,
    decidePrompt,
    type DutyAnswer,
    type EngineOrdering,
    LocalDecisions,
    Mechanism,
    NoForwardingMetrics,
    openDatagramChannel,
    type RegisteredPeer,
    reportArrivals,
    reportSizeCounts,
} from "daisyturn/forwarding";
import { randomInt } from "node:crypto";
import { setMaxListeners } from "node:events";
import { performance } from "node:perf_hooks";
import { createProcessLog } from "../life/createProcessLog.js";
import { computeMaxStateAge } from "./computeStateAge.js";
import { createCallerServer } from "./createCallerServer.js";
import { createDuties } from "./createDuties.js";
import { createForwardingParts } from "./createForwardingParts.js";
import { createMetricsServer } from "./createMetricsServer.js";
import { createProcessQuotas } from "./createProcessQuotas.js";
import { createReadinessServer } from "./createReadinessServer.js";
import type { ForwardingAdapters } from "./forwardingAdapters.js";
import type { ForwardingSettings } from "./forwardingSettings.js";
import { startEngineOrders } from "./startEngineOrders.js";
import { startStageChanges } from "./startStageChanges.js";
import { startTableWatches } from "./startTableWatches.js";

/** A process that forwards calls to targets. */
export interface ForwardingProcess {
    /**
     * Starts listening; the process becomes ready once configuration and targets are known and callers are accepted. Resolves
     * when the listeners for callers and for the readiness probe are open, or the process is stopped before.
     */
    start(): Promise<void>;
    /** Replaces the settings. If the new ones can't be read, the old ones stay active and a fault is logged. */
    reload(load: () => ForwardingSettings): void;
    /** Counts an error that nothing caught. */
    recordUncaughtError(kind: string): void;
    /** Monotonic time by which the platform wants a process to have ended that begins to stop now. */
    stopDeadline(): number;
    /** Withdraws readiness, finishes running calls, and resolves within the grace period of the platform. */
    stop(): Promise<void>;
}

/** Each background task adds one abort listener; Node.js warns of a leak beyond this number. */
const maxBackgroundTasks = 40;
/** Part of the grace period that is reserved for the process to exit after its calls have ended. */
const endMarginMilliseconds = 700;
/** Limits the removal of the peer entry, so that an unavailable store does not delay the shutdown. */
const leaveTimeoutMilliseconds = 200;
const seedLimit = 0x7fffffff;

/**
 * Creates the process; nothing listens or runs before `start`.
 * @param log log of the process; one of its own, as the settings say, if absent
 */
export function createForwardingProcess(
    initialSettings: ForwardingSettings,
    adapters: ForwardingAdapters,
    log = createProcessLog(new SystemClock(), initialSettings.logFile),
): ForwardingProcess {
    let settings = initialSettings;
    const clock = new SystemClock();
    const random = createSeededRandom(randomInt(seedLimit));
    const { eventLog, incarnation } = log;
    log.setProcessId(settings.processId);
    const metricsServer = settings.metrics && createMetricsServer(settings.metrics);
    const metrics = metricsServer?.metrics ?? new NoForwardingMetrics();
    const parts = createForwardingParts({
        adapters,
        settings: () => settings,
        clock,
        random,
        eventLog,
        metrics,
        listPeers: () => coordination.listPeers(),
        refreshPeers: () => coordination.refreshPeers(),
        countProcesses: () => coordination.countProcesses(),
    });
    const peerChannel = openDatagramChannel({ listen: settings.peers, clock, eventLog, metrics });
    const coordination = coordinate({
        ...parts,
        self: describeSelf(settings),
        registry: adapters.peerRegistry,
        channel: peerChannel.channel,
        views: parts,
        random,
        decideLocally: request => decidePrompt(parts, request),
        findService: name => parts.configurationManager.current()?.configuration.services.get(name),
        maxStateAgeMilliseconds: () => computeMaxStateAge(settings),
        utilization: () => overloadGuard.utilization(),
        clock,
        eventLog,
    });
    const isOn = (mechanism: Mechanism) => !parts.switchedOff.has(mechanism);
    const decisions = isOn(Mechanism.PeerMessages)
        ? coordination.decisions
        : new LocalDecisions(parts);
    const { findOrigin, requestRetryLease, hasRoomElsewhere } = coordination;
    const background = new AbortController();
    const { signal } = background;
    const shared = { settings, adapters, parts, incarnation, coordination, clock, random, eventLog, signal };
    const { quotas, targetQuotas } = createProcessQuotas(shared);
    const onReported = (answer: DutyAnswer) => metricsServer?.recordUsageReport(answer);
    const duties = createDuties({ ...shared, onReported });
    const { recordUsage } = duties ?? {};
    const servingParts = { ...parts, decisions, findOrigin, requestRetryLease, targetQuotas, recordUsage };
    const busyMilliseconds = () => performance.eventLoopUtilization().active - peerChannel.droppedMilliseconds();
    const sampleUtilization = createUtilizationMeter(busyMilliseconds);
    const overloadGuard = createOverloadGuard({ clock, random, eventLog, sampleUtilization });
    const isGuarded = isOn(Mechanism.OverloadGuard);
    const { server, connectionGuard } = createCallerServer({
        settings,
        protocol: adapters.callerProtocol,
        parts: servingParts,
        busyMilliseconds,
        shouldRefuse: () => isGuarded && overloadGuard.shouldRefuse(),
        hasRoomElsewhere: () => isGuarded && hasRoomElsewhere(),
    });
    const tunnels = createTunnelServer({
        listen: settings.peers,
        isRegistered: coordination.isRegistered,
        isListed: address => parts.targets.findAt(address).length > 0,
        isAvailable: () => !isOverloaded(),
        links: parts.links,
        clock,
        eventLog,
    });
    metricsServer?.observe({
        ...parts,
        quotas,
        tunnels,
        connectionGuard,
        holdsDuties: () => duties?.calls.current() !== undefined,
        listEngineNumbers: () => ordering?.list() ?? [],
    });
    setMaxListeners(maxBackgroundTasks, signal);
    let isStopping = false;
    /** Whether callers may have connected, so that the process must be withdrawn before it ends. */
    let isAccepting = false;
    const opening = new AbortController();
    let ordering: EngineOrdering | undefined;
    const isOverloaded = () => isGuarded && overloadGuard.isPersistentlyOverloaded();
    const isReady = () =>
        !isStopping && isAccepting && !isOverloaded() && parts.configurationManager.current() !== undefined
        && parts.targets.isKnown();
    const readiness = createReadinessServer(settings.readiness, adapters.readinessPath, isReady, parts);
    parts.configurationManager.onChanged(table => server.setLimits(table.configuration.limits));

    const startCoordination = () => {
        background.signal.addEventListener("abort", peerChannel.close);
        coordination.run(background.signal);
        void parts.versionRecord.run(background.signal);
        const mayOrder = () => !isStopping && !parts.links.isCutOff();
        startStageChanges({ ...shared, mayOrder: () => mayOrder() && isOn(Mechanism.StageChanges) });
        duties?.start(signal);
        if (duties && settings.duties?.isScaling) {
            ordering = startEngineOrders({ ...shared, calls: duties.calls, mayOrder });
        }
    };

    const start = async () => {
        eventLog.record(EventKind.ProcessStarted, { zone: settings.availabilityZone });
        void overloadGuard.run(background.signal);
        void reportArrivals(
            { arrivalCounts: parts.arrivalCounts, budget: parts.budget, clock, eventLog },
            background.signal,
        );
        void reportSizeCounts({ sizeCounts: parts.sizeCounts, clock, eventLog }, background.signal);
        startTableWatches({ ...shared, settings: () => settings, signal: background.signal });
        startCoordination();
        // The process serves without these two. The port of the metrics is a convention, which another program may have.
        void tunnels.start(opening.signal);
        void metricsServer?.start(opening.signal, { clock, eventLog });
        const accepted = server.start(opening.signal).then(isOpen => {
            isAccepting = isOpen;
        });
        await Promise.all([accepted, readiness.start(opening.signal)]);
    };

    const reload = (load: () => ForwardingSettings) => {
        try {
            settings = load();
            eventLog.record(EventKind.SettingsReloaded, {});
        }
        catch (error) {
            eventLog.record(EventKind.Fault, { reason: `settings left as they were: ${(error as Error).message}` });
        }
    };

    /** Removes the peer entry; otherwise peers would send datagrams to this address until the entry is stale. */
    const leavePeers = () => {
        const deadline = clock.monotonicNow() + leaveTimeoutMilliseconds;
        return adapters.peerRegistry.leave(describeSelf(settings), deadline);
    };

    const stopOnce = async () => {
        isStopping = true;
        opening.abort();
        eventLog.record(EventKind.ProcessDraining, { running: server.running() });
        coordination.stopAnswering();
        const deadline = clock.monotonicNow() + settings.graceMilliseconds - endMarginMilliseconds;
        // The next holder of the duties does not wait for the calls of this process.
        await Promise.all([isAccepting && server.drain(deadline), tunnels.drain(deadline), duties?.stop(deadline)]);
        eventLog.record(EventKind.ProcessStopped, { running: server.running() });
        readiness.close();
        metricsServer?.close();
        await duties?.handOver();
        await leavePeers();
        background.abort();
        tunnels.close();
        parts.connections.close();
        await adapters.close();
        log.flush();
    };

    let stopping: Promise<void> | undefined;
    const recordUncaughtError = (kind: string) => metricsServer?.recordUncaughtError(kind);
    return {
        stopDeadline: () => clock.monotonicNow() + settings.graceMilliseconds,
        start,
        reload,
        recordUncaughtError,
        stop: () => stopping ??= stopOnce(),
    };
}

function describeSelf({ processId, peers, availabilityZone, strength }: ForwardingSettings): RegisteredPeer {
    return { peerId: processId, host: peers.address, port: peers.port, availabilityZone, strength };
}

/** Creates a function that returns the utilization of the process since its previous call, from 0 to 1. */
function createUtilizationMeter(busyMilliseconds: () => number): () => number {
    let lastAt = performance.now();
    let lastBusy = busyMilliseconds();
    return () => {
        const [at, busy] = [performance.now(), busyMilliseconds()];
        const utilization = at > lastAt ? (busy - lastBusy) / (at - lastAt) : 0;
        [lastAt, lastBusy] = [at, busy];
        return Math.max(0, Math.min(1, utilization));
    };
}

import {
    createBoundedEventLog,
    createHybridLogicalClock,
    createLogfmtEventLog,
    createSeededRandom,
    EventKind,
    SystemClock,
    UserError,
} from "daisyturn-utils";
import {
    type ChangeFeed,
    coordinate,
    createForwardServer,
    createOverloadGuard,
    decidePrompt,
    LocalDecisions,
    Mechanism,
    NoForwardingMetrics,
    openDatagramChannel,
    type RegisteredPeer,
    reportSizeCounts,
    serveForwardedCall,
    type TableObserver,
    watchTable,
    type WatchTiming,
} from "daisyturn/forwarding";
import { randomBytes, randomInt } from "node:crypto";
import { setMaxListeners } from "node:events";
import { performance } from "node:perf_hooks";
import { createLogWriter } from "../entry/createLogWriter.js";
import { createForwardingParts } from "./createForwardingParts.js";
import { createMetricsServer } from "./createMetricsServer.js";
import { createReadinessServer } from "./createReadinessServer.js";
import type { ForwardingAdapters } from "./forwardingAdapters.js";
import type { ForwardingSettings } from "./forwardingSettings.js";
import { startStageChanges } from "./startStageChanges.js";

/** A process that forwards calls to targets. */
export interface ForwardingProcess {
    /** Listens, and becomes ready once configuration and targets are known. */
    start(): Promise<void>;
    /** Puts other settings in force; those that can't be read leave the old ones. */
    reload(load: () => ForwardingSettings): void;
    /** Is not ready from now on, finishes what runs, and resolves within the time that the platform grants. */
    stop(): Promise<void>;
}

/** Each background task listens for the end of the process once; node warns of a leak beyond this number. */
const mostBackgroundTasks = 40;
/** Left of the granted time for the process to end by itself. */
const endMarginMilliseconds = 700;
/** A store that is away must not hold up the end. */
const leaveMilliseconds = 200;
/** A feed's call ends early enough for another to bring what a silent connection has hidden, within the bound. */
const feedMarginMilliseconds = 1_200;
const shortestFeedWait = 500;
/** A coordinator's word on the store holds for this part of the time in which what is there must be heeded. */
const freshFraction = 0.75;
/** A coordinator asks the store so often that its word, told on, is never older than that. */
const readerWaitFraction = 0.5;
/** Changes of several targets come in one priced answer, within this part of the time in which they must be heeded. */
const mergeFraction = 0.25;
/** Upper bound of the random delay before a process re-reads its tables and rewrites its entry after a store rollback. */
const rollbackJitterMilliseconds = 400;
const seedLimit = 0x7fffffff;
const incarnationBytes = 6;

/** Creates the process. */
export function createForwardingProcess(
    initialSettings: ForwardingSettings,
    adapters: ForwardingAdapters,
): ForwardingProcess {
    let settings = initialSettings;
    const clock = new SystemClock();
    const random = createSeededRandom(randomInt(seedLimit));
    const incarnation = randomBytes(incarnationBytes).toString("hex");
    const logWriter = createLogWriter(settings.logFile);
    const metricsServer = settings.metrics && createMetricsServer(settings.metrics);
    const lines = createLogfmtEventLog({
        processId: settings.processId,
        incarnation,
        hybridClock: createHybridLogicalClock(clock),
        writeLine: logWriter.writeLine,
    });
    const eventLog = createBoundedEventLog(lines, clock);
    const parts = createForwardingParts({
        adapters,
        settings: () => settings,
        clock,
        random,
        eventLog,
        metrics: metricsServer?.metrics ?? new NoForwardingMetrics(),
    });
    metricsServer?.observe(parts);
    const describeSelf = (): RegisteredPeer => ({
        peerId: settings.processId,
        host: settings.peers.address,
        port: settings.peers.port,
        availabilityZone: settings.availabilityZone,
        strength: settings.strength,
    });
    /** Within this time of its acknowledgement, whatever is in the store must be heeded. */
    const heedMilliseconds = () => Math.min(settings.drainMilliseconds, settings.configurationMilliseconds);
    const peerChannel = openDatagramChannel(settings.peers.address, settings.peers.port, eventLog);
    const coordination = coordinate({
        self: describeSelf(),
        registry: adapters.peerRegistry,
        channel: peerChannel.channel,
        views: parts,
        sizeFairness: parts.sizeFairness,
        decideLocally: request => decidePrompt(parts, request),
        findService: name => parts.configurationManager.current()?.configuration.services.get(name),
        maxStateAgeMilliseconds: () => heedMilliseconds() * freshFraction,
        clock,
        eventLog,
    });
    const isOn = (mechanism: Mechanism) => !parts.switchedOff.has(mechanism);
    const decisions = isOn(Mechanism.PeerMessages)
        ? coordination.decisions
        : new LocalDecisions(parts);
    const servingParts = { ...parts, decisions };
    const sampleUtilization = createUtilizationMeter();
    const overloadGuard = createOverloadGuard({ clock, random, eventLog, sampleUtilization });
    const server = createForwardServer({
        listen: settings.callers,
        protocol: adapters.callerProtocol,
        serve: (call, exchange) => serveForwardedCall(servingParts, call, exchange),
        shouldRefuse: () => isOn(Mechanism.OverloadGuard) && overloadGuard.shouldRefuse(),
        clock,
        eventLog,
    });
    const background = new AbortController();
    setMaxListeners(mostBackgroundTasks, background.signal);
    let isStopping = false;
    const isReady = () =>
        !isStopping && !overloadGuard.isPersistentlyOverloaded() && parts.configurationManager.current() !== undefined
        && parts.targets.isKnown();
    const readiness = createReadinessServer(settings.readiness, adapters.readinessPath, isReady);
    parts.configurationManager.onChanged(table => server.setLimits(table.configuration.limits));

    const follow = () => {
        const ownWait = () => Math.max(shortestFeedWait, settings.contactMilliseconds - feedMarginMilliseconds);
        const readerWait = () => Math.max(shortestFeedWait, heedMilliseconds() * readerWaitFraction);
        const timing: WatchTiming = {
            waitMilliseconds: () => Math.min(ownWait(), coordination.isReader() ? readerWait() : Infinity),
            mergeMilliseconds: settings.drainMilliseconds * mergeFraction,
            rereadDelayMilliseconds: () => random.fraction() * rollbackJitterMilliseconds,
        };
        const refreshEntry = async () => {
            const refreshAt = clock.monotonicNow() + random.fraction() * rollbackJitterMilliseconds;
            await clock.sleepUntil(refreshAt, background.signal);
            coordination.refreshEntry();
        };
        const follow = (name: string, feed: ChangeFeed, observer: TableObserver) =>
            watchTable({
                name,
                feed,
                observer,
                timing,
                clock,
                eventLog,
                onCall: parts.targets.recordStoreCall,
                onRolledBack: () => void refreshEntry(),
                relay: coordination.relayedTable(name),
                reader: coordination.tableReader,
            }, background.signal);
        void follow("configuration", adapters.configurationFeed, parts.configurationManager);
        void follow("targets", adapters.targetFeed, parts.targets);
    };

    const actWithPeers = () => {
        const { signal } = background;
        signal.addEventListener("abort", peerChannel.close);
        coordination.run(signal);
        startStageChanges({
            settings,
            adapters,
            parts,
            incarnation,
            isPlanner: () => !isStopping && coordination.isFleetCoordinator() && isOn(Mechanism.StageChanges),
            peerPause: coordination.closingReportInterval,
            clock,
            random,
            eventLog,
            signal,
        });
    };

    const start = async () => {
        eventLog.record(EventKind.ProcessStarted, { zone: settings.availabilityZone });
        void overloadGuard.run(background.signal);
        void reportSizeCounts({ sizeCounts: parts.sizeCounts, clock, eventLog }, background.signal);
        follow();
        actWithPeers();
        await server.start();
        await readiness.start();
        await metricsServer?.start();
    };

    const reload = (load: () => ForwardingSettings) => {
        try {
            settings = load();
            eventLog.record(EventKind.SettingsReloaded, {});
        }
        catch (error) {
            if (!(error instanceof UserError)) {
                throw error;
            }
            eventLog.record(EventKind.Fault, { reason: `settings left as they were: ${error.message}` });
        }
    };

    /** Without it, the others would send datagrams to this address until the entry is stale. */
    const leavePeers = () => {
        const deadline = clock.monotonicNow() + leaveMilliseconds;
        return adapters.peerRegistry.leave(describeSelf(), deadline);
    };

    const stopOnce = async () => {
        isStopping = true;
        eventLog.record(EventKind.ProcessDraining, { running: server.running() });
        coordination.stopAnswering();
        await server.drain(clock.monotonicNow() + settings.graceMilliseconds - endMarginMilliseconds);
        eventLog.record(EventKind.ProcessStopped, { running: server.running() });
        readiness.close();
        metricsServer?.close();
        await leavePeers();
        background.abort();
        parts.connections.close();
        await adapters.close();
        logWriter.flush();
    };

    let stopping: Promise<void> | undefined;
    const stop = () => stopping ??= stopOnce();

    return { start, reload, stop };
}

/** Creates a meter that tells, at each call, how busy the event loop was since the call before. */
function createUtilizationMeter(): () => number {
    let last = performance.eventLoopUtilization();
    return () => {
        const now = performance.eventLoopUtilization();
        const { utilization } = performance.eventLoopUtilization(now, last);
        last = now;
        return utilization;
    };
}

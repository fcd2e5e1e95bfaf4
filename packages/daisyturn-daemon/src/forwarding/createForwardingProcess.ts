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
    createForwardServer,
    createOverloadGuard,
    followTable,
    type FollowTiming,
    Mechanism,
    NoForwardingMetrics,
    openDatagramChannel,
    type RegisteredPeer,
    reportSizeCounts,
    serveForwardedCall,
    shareLoads,
} from "daisyturn/forwarding";
import { randomBytes, randomInt } from "node:crypto";
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

/** Left of the granted time for the process to end by itself. */
const endMarginMilliseconds = 700;
/** A store that is away must not hold up the end. */
const leaveMilliseconds = 200;
/** A feed's call ends early enough for another to bring what a silent connection has hidden, within the bound. */
const feedMarginMilliseconds = 1_200;
const shortestFeedWait = 500;
/** Changes of several targets come in one priced answer, within this part of the time in which they must be heeded. */
const mergeFraction = 0.25;
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
    const isOn = (mechanism: Mechanism) => !parts.switchedOff.has(mechanism);
    const takeUtilization = createUtilizationMeter();
    const overloadGuard = createOverloadGuard({ clock, random, eventLog, takeUtilization });
    const server = createForwardServer({
        listen: settings.callers,
        protocol: adapters.callerProtocol,
        serve: (call, exchange) => serveForwardedCall(parts, call, exchange),
        shouldRefuse: () => isOn(Mechanism.OverloadGuard) && overloadGuard.shouldRefuse(),
        clock,
        eventLog,
    });
    const background = new AbortController();
    let isStopping = false;
    const isReady = () =>
        !isStopping && !overloadGuard.isOverwhelmed() && parts.keeper.current() !== undefined
        && parts.targets.isKnown();
    const readiness = createReadinessServer(settings.readiness, adapters.readinessPath, isReady);
    parts.keeper.onChanged(table => server.setLimits(table.configuration.limits));

    const follow = () => {
        const waitMilliseconds = Math.max(shortestFeedWait, settings.contactMilliseconds - feedMarginMilliseconds);
        const mergeMilliseconds = settings.drainMilliseconds * mergeFraction;
        const timing: FollowTiming = { waitMilliseconds, mergeMilliseconds };
        const common = { timing, clock, eventLog, onCall: parts.targets.noteStoreCall };
        const { configurationFeed, targetFeed } = adapters;
        const { signal } = background;
        void followTable({ ...common, name: "configuration", feed: configurationFeed, follower: parts.keeper }, signal);
        void followTable({ ...common, name: "targets", feed: targetFeed, follower: parts.targets }, signal);
    };

    const describeSelf = (): RegisteredPeer => ({
        peerId: settings.processId,
        host: settings.peers.address,
        port: settings.peers.port,
        availabilityZone: settings.availabilityZone,
    });

    const actWithPeers = () => {
        const { address, port } = settings.peers;
        const { channel, close } = openDatagramChannel(address, port, eventLog);
        const self = describeSelf();
        const { loads, caches, demand, closed } = parts;
        const { signal } = background;
        const registry = adapters.peerRegistry;
        const peers = shareLoads({ self, registry, channel, loads, caches, demand, closed, clock, eventLog }, signal);
        signal.addEventListener("abort", close);
        startStageChanges({
            settings,
            adapters,
            parts,
            incarnation,
            isPlanner: () => !isStopping && peers.isFirst() && isOn(Mechanism.StageChanges),
            peerPause: peers.pause,
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
        await readiness.start();
        await metricsServer?.start();
        await server.start();
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

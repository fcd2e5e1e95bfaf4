import { type Clock, EventKind, type EventLog, type JsonObject, toJson } from "daisyturn-utils";
import { ExchangeSection, type LoadExchange } from "../peers/index.js";

/** Health state of an engine, which decides whether the router may use it. */
export enum EngineHealthState {
    Healthy = "healthy",
    /** Gets no requests until the ejection has expired. */
    Ejected = "ejected",
    /** Ejection expired; gets one request at a time until enough have succeeded. */
    Probing = "probing",
}

/** Detects engines that fail or are slow, and ejects them for a limited time. */
export interface EngineHealth {
    state(engineId: string): EngineHealthState;
    /** Whether the engine's health permits sending it another request now. */
    acceptsWork(engineId: string): boolean;
    recordDispatch(engineId: string): void;
    recordSuccess(engineId: string): void;
    recordFailure(engineId: string): void;
    /** Records the time to a first token, or the time waited for it so far, as a multiple of the predicted time. */
    recordFirstTokenRatio(engineId: string, ratio: number): void;
    /** Records that a request has ended on the engine, independent of whether it has succeeded. */
    recordEnd(engineId: string): void;
}

/** What {@link createEngineHealth} needs. */
export interface EngineHealthOptions {
    readonly clock: Clock;
    readonly eventLog: EventLog;
    /** Engines that can do the same work, including this one; limits how many may be ejected at once. */
    readonly listAlternatives: (engineId: string) => readonly string[];
    readonly exchange: LoadExchange;
}

/** Number of consecutive failures after which an engine is ejected. */
const consecutiveFailuresToEject = 3;
/**
 * Slowness is detected by a cumulative sum (CUSUM, Page 1954). Each first token adds the logarithm of the ratio of its
 * time to twice the predicted time, which is negative for a fast one. The engine is ejected once the sum reaches
 * `slownessThreshold`.
 */
const toleratedRatio = 2;
const slownessThreshold = 4;
const minRatio = 0.01;
/** Limits of what one first token adds to the sum. */
const maxSampleEvidence = 2;
const minSampleEvidence = -1;
/** Weight of one first token in an engine's moving average, from which the median of all engines is computed. */
const averageGain = 0.3;
const initialEjectionMilliseconds = 5_000;
const maxEjectionMilliseconds = 120_000;
const probesToRecover = 3;
/**
 * Largest fraction of the engines that can do the same work that may be ejected at once. One may always be ejected if
 * there is another one.
 */
const maxEjectedFraction = 0.3;
/** If this many peers have ejected an engine, this process ejects it too, without failures of its own. */
const minReportingPeers = 2;
const peerReportLifetimeMilliseconds = 2_000;

enum EjectionReason {
    Failures = "failures",
    Slow = "slow",
    Peers = "peers",
}

interface HealthEntry {
    state: EngineHealthState;
    consecutiveFailures: number;
    slownessSum: number;
    /** Moving average of the logarithm of the ratio of first-token times to their predictions. */
    averageLog: number;
    samples: number;
    /**
     * Whether the engine was ejected only because peers have ejected it. Such an ejection is not published, because
     * otherwise the processes could renew it among each other forever.
     */
    isEjectedByPeers: boolean;
    /** Monotonic time. */
    ejectedUntil: number;
    ejections: number;
    probesDone: number;
    inFlight: number;
}

/** Time for which a computed median is used. */
const medianLifetimeMilliseconds = 100;

interface PeerReport {
    readonly ejected: ReadonlySet<string>;
    /** Monotonic time. */
    readonly receivedAt: number;
}

interface HealthSection {
    readonly ejected: readonly string[];
}

/** Creates the health records of all engines. */
export function createEngineHealth(options: EngineHealthOptions): EngineHealth {
    const { clock, eventLog, exchange } = options;
    const entries = new Map<string, HealthEntry>();
    const peerReports = new Map<string, PeerReport>();
    let hasPublishedEjections = false;
    let medianLog = 0;
    let medianComputedAt = -Infinity;

    const ensureEntry = (engineId: string) => {
        const known = entries.get(engineId);
        if (known) {
            return known;
        }
        const entry = createEntry();
        entries.set(engineId, entry);
        return entry;
    };

    const isEjected = (engineId: string) => entries.get(engineId)?.state === EngineHealthState.Ejected;

    /** Limits the ejected engines: if too many are ejected already, a bad engine is better than none. */
    const mayEject = (engineId: string) => {
        const alternatives = options.listAlternatives(engineId);
        const ejected = alternatives.filter(other => other !== engineId && isEjected(other)).length;
        const allowed = Math.max(1, Math.floor(alternatives.length * maxEjectedFraction));
        return alternatives.length > 1 && ejected < allowed;
    };

    const eject = (engineId: string, reason: EjectionReason) => {
        const entry = ensureEntry(engineId);
        if (entry.state === EngineHealthState.Ejected || !mayEject(engineId)) {
            return;
        }
        const duration = Math.min(maxEjectionMilliseconds, initialEjectionMilliseconds * 2 ** entry.ejections);
        entry.state = EngineHealthState.Ejected;
        entry.ejectedUntil = clock.monotonicNow() + duration;
        entry.ejections += 1;
        entry.isEjectedByPeers = reason === EjectionReason.Peers;
        resetEvidence(entry);
        eventLog.record(EventKind.EngineDegraded, { engine: engineId, reason });
    };

    const refresh = (engineId: string) => {
        const entry = ensureEntry(engineId);
        if (entry.state === EngineHealthState.Ejected && clock.monotonicNow() >= entry.ejectedUntil) {
            entry.state = EngineHealthState.Probing;
            entry.probesDone = 0;
        }
        return entry;
    };

    const recoverAfterProbe = (engineId: string, entry: HealthEntry) => {
        entry.probesDone += 1;
        if (entry.probesDone >= probesToRecover) {
            entry.state = EngineHealthState.Healthy;
            entry.ejections = Math.max(0, entry.ejections - 1);
            eventLog.record(EventKind.EngineRecovered, { engine: engineId });
        }
    };

    const recordSuccess = (engineId: string) => {
        const entry = refresh(engineId);
        entry.consecutiveFailures = 0;
        if (entry.state === EngineHealthState.Probing) {
            recoverAfterProbe(engineId, entry);
        }
    };

    const recordFailure = (engineId: string) => {
        const entry = refresh(engineId);
        entry.consecutiveFailures += 1;
        const limit = entry.state === EngineHealthState.Probing ? 1 : consecutiveFailuresToEject;
        if (entry.consecutiveFailures >= limit) {
            eject(engineId, EjectionReason.Failures);
        }
    };

    /** Under overload all engines are late, so only slowness beyond the median of all engines counts. */
    const computeMedianLog = () => {
        const now = clock.monotonicNow();
        if (now - medianComputedAt >= medianLifetimeMilliseconds) {
            const sampled = [...entries.values()].filter(entry => entry.samples > 0);
            const logs = sampled.map(entry => entry.averageLog).sort((left, right) => left - right);
            medianLog = Math.max(0, logs[(logs.length - 1) >> 1] ?? 0);
            medianComputedAt = now;
        }
        return medianLog;
    };

    const recordFirstTokenRatio = (engineId: string, ratio: number) => {
        const entry = refresh(engineId);
        const logRatio = Math.log(Math.max(ratio, minRatio));
        entry.averageLog += (entry.samples === 0 ? 1 : averageGain) * (logRatio - entry.averageLog);
        entry.samples += 1;
        const evidence = logRatio - Math.log(toleratedRatio) - computeMedianLog();
        entry.slownessSum += Math.max(minSampleEvidence, Math.min(maxSampleEvidence, evidence));
        entry.slownessSum = Math.max(0, entry.slownessSum);
        if (entry.slownessSum >= slownessThreshold) {
            eject(engineId, EjectionReason.Slow);
        }
    };

    const acceptsWork = (engineId: string) => {
        const entry = refresh(engineId);
        return entry.state === EngineHealthState.Healthy
            || entry.state === EngineHealthState.Probing && entry.inFlight === 0;
    };

    const collect = (): JsonObject | undefined => {
        const ejected = [...entries.keys()].filter(engineId =>
            isEjected(engineId) && !entries.get(engineId)!.isEjectedByPeers
        );
        const section: HealthSection = { ejected };
        const shouldPublish = ejected.length > 0 || hasPublishedEjections;
        hasPublishedEjections = ejected.length > 0;
        return shouldPublish ? toJson(section) : undefined;
    };

    const receive = (processId: string, content: JsonObject) => {
        const section = content as unknown as HealthSection;
        const now = clock.monotonicNow();
        peerReports.set(processId, { ejected: new Set(section.ejected), receivedAt: now });
        for (const engineId of section.ejected) {
            const reporters = [...peerReports.values()].filter(report => isReportedEjected(report, engineId, now));
            if (reporters.length >= minReportingPeers && refresh(engineId).state === EngineHealthState.Healthy) {
                eject(engineId, EjectionReason.Peers);
            }
        }
    };

    exchange.register({
        section: ExchangeSection.EngineHealth,
        collect,
        receive: (content, from) => receive(from.processId, content),
    });
    return {
        state: engineId => refresh(engineId).state,
        acceptsWork,
        recordDispatch: engineId => {
            ensureEntry(engineId).inFlight += 1;
        },
        recordSuccess,
        recordFailure,
        recordFirstTokenRatio,
        recordEnd: engineId => {
            const entry = ensureEntry(engineId);
            entry.inFlight = Math.max(0, entry.inFlight - 1);
        },
    };
}

/** Peers repeat their ejections in each digest, so an older report is not used. */
function isReportedEjected(report: PeerReport, engineId: string, now: number): boolean {
    return report.ejected.has(engineId) && now - report.receivedAt <= peerReportLifetimeMilliseconds;
}

function createEntry(): HealthEntry {
    return {
        state: EngineHealthState.Healthy,
        consecutiveFailures: 0,
        slownessSum: 0,
        averageLog: 0,
        samples: 0,
        isEjectedByPeers: false,
        ejectedUntil: 0,
        ejections: 0,
        probesDone: 0,
        inFlight: 0,
    };
}

function resetEvidence(entry: HealthEntry): void {
    entry.consecutiveFailures = 0;
    entry.slownessSum = 0;
    entry.averageLog = 0;
    entry.samples = 0;
}

import { type Clock, EventKind, type EventLog, type JsonObject, toJson } from "daisyturn-utils";
import { ExchangeSection, type LoadExchange } from "../peers/index.js";

/** What the router may do with an engine. */
export enum EngineHealthState {
    Healthy = "healthy",
    /** Left alone until its time is over. */
    Ejected = "ejected",
    /** Back after its time; takes one request at a time until some went well. */
    Probing = "probing",
}

/** Notices engines that fail or crawl and leaves them alone for a while. */
export interface EngineHealth {
    standing(engineId: string): EngineHealthState;
    /** Whether one more request may go there now, as far as health goes. */
    acceptsWork(engineId: string): boolean;
    recordDispatch(engineId: string): void;
    recordSuccess(engineId: string): void;
    recordFailure(engineId: string): void;
    /** Takes in a first token, or its absence so far, as a multiple of what was predicted. */
    recordFirstTokenRatio(engineId: string, ratio: number): void;
    /** The request has left the engine without saying anything about its health. */
    recordEnd(engineId: string): void;
}

/** What {@link createEngineHealth} needs. */
export interface EngineHealthOptions {
    readonly clock: Clock;
    readonly eventLog: EventLog;
    /** Engines that could do the same work, this one included; bounds how many may be ejected at once. */
    readonly listAlternatives: (engineId: string) => readonly string[];
    readonly exchange: LoadExchange;
}

/** Failures in a row that eject an engine. */
const failuresToEject = 3;
/**
 * Slowness is judged by a cumulative sum (Page 1954): each first token adds the logarithm of how many times longer
 * than twice its prediction it took, a good one takes away, and an engine is ejected where the sum passes the limit.
 */
const toleratedSlowness = 2;
const evidenceToEject = 4;
const smallestRatio = 0.01;
const mostEvidenceOfOne = 2;
const leastEvidenceOfOne = -1;
/** How much one first token moves an engine's average, which the others are compared with. */
const averageGain = 0.3;
const firstEjectionMilliseconds = 5_000;
const longestEjectionMilliseconds = 120_000;
const probesToRecover = 3;
/** At most this part of the engines that can do the same work may be ejected; one always may, if another is left. */
const largestEjectedFraction = 0.3;
/** So many peers that have ejected an engine make this process eject it too, without waiting for failures of its own. */
const peersToConvince = 2;
const peerWordMilliseconds = 2_000;

enum EjectionReason {
    Failures = "failures",
    Slow = "slow",
    Peers = "peers",
}

interface HealthEntry {
    standing: EngineHealthState;
    failuresInRow: number;
    slowEvidence: number;
    /** Average logarithm of first-token times against predictions. */
    averageLog: number;
    samples: number;
    /** Ejected on the word of peers only; not passed on, or processes would convince each other for ever. */
    byPeers: boolean;
    /** Monotonic time. */
    ejectedUntil: number;
    ejections: number;
    probesDone: number;
    inFlight: number;
}

/** How long a computed middle is used. */
const middleMilliseconds = 100;

interface PeerWord {
    readonly ejected: ReadonlySet<string>;
    /** Monotonic time. */
    readonly heardAt: number;
}

interface HealthSection {
    readonly ejected: readonly string[];
}

/** Creates the health record of all engines. */
export function createEngineHealth(options: EngineHealthOptions): EngineHealth {
    const { clock, eventLog, exchange } = options;
    const entries = new Map<string, HealthEntry>();
    const words = new Map<string, PeerWord>();
    let hasTold = false;
    let middle = 0;
    let middleAt = -Infinity;

    const ensureEntry = (engineId: string) => {
        const known = entries.get(engineId);
        if (known) {
            return known;
        }
        const entry = createEntry();
        entries.set(engineId, entry);
        return entry;
    };

    const isLeftAlone = (engineId: string) => entries.get(engineId)?.standing === EngineHealthState.Ejected;

    /** The floor: with too many ejected already, a bad engine is still better than none. */
    const mayEject = (engineId: string) => {
        const alternatives = options.listAlternatives(engineId);
        const ejected = alternatives.filter(other => other !== engineId && isLeftAlone(other)).length;
        const allowed = Math.max(1, Math.floor(alternatives.length * largestEjectedFraction));
        return alternatives.length > 1 && ejected < allowed;
    };

    const eject = (engineId: string, reason: EjectionReason) => {
        const entry = ensureEntry(engineId);
        if (entry.standing === EngineHealthState.Ejected || !mayEject(engineId)) {
            return;
        }
        const length = Math.min(longestEjectionMilliseconds, firstEjectionMilliseconds * 2 ** entry.ejections);
        entry.standing = EngineHealthState.Ejected;
        entry.ejectedUntil = clock.monotonicNow() + length;
        entry.ejections += 1;
        entry.byPeers = reason === EjectionReason.Peers;
        resetEvidence(entry);
        eventLog.record(EventKind.EngineDegraded, { engine: engineId, reason });
    };

    const refresh = (engineId: string) => {
        const entry = ensureEntry(engineId);
        if (entry.standing === EngineHealthState.Ejected && clock.monotonicNow() >= entry.ejectedUntil) {
            entry.standing = EngineHealthState.Probing;
            entry.probesDone = 0;
        }
        return entry;
    };

    const recoverAfterProbe = (engineId: string, entry: HealthEntry) => {
        entry.probesDone += 1;
        if (entry.probesDone >= probesToRecover) {
            entry.standing = EngineHealthState.Healthy;
            entry.ejections = Math.max(0, entry.ejections - 1);
            eventLog.record(EventKind.EngineRecovered, { engine: engineId });
        }
    };

    const recordSuccess = (engineId: string) => {
        const entry = refresh(engineId);
        entry.failuresInRow = 0;
        if (entry.standing === EngineHealthState.Probing) {
            recoverAfterProbe(engineId, entry);
        }
    };

    const recordFailure = (engineId: string) => {
        const entry = refresh(engineId);
        entry.failuresInRow += 1;
        const limit = entry.standing === EngineHealthState.Probing ? 1 : failuresToEject;
        if (entry.failuresInRow >= limit) {
            eject(engineId, EjectionReason.Failures);
        }
    };

    /** Under overload all engines are late; only what is worse than the middle of all counts. */
    const middleOfAll = () => {
        const now = clock.monotonicNow();
        if (now - middleAt >= middleMilliseconds) {
            const sampled = [...entries.values()].filter(entry => entry.samples > 0);
            const logs = sampled.map(entry => entry.averageLog).sort((left, right) => left - right);
            middle = Math.max(0, logs[(logs.length - 1) >> 1] ?? 0);
            middleAt = now;
        }
        return middle;
    };

    const recordFirstTokenRatio = (engineId: string, ratio: number) => {
        const entry = refresh(engineId);
        const log = Math.log(Math.max(ratio, smallestRatio));
        entry.averageLog += (entry.samples === 0 ? 1 : averageGain) * (log - entry.averageLog);
        entry.samples += 1;
        const evidence = log - Math.log(toleratedSlowness) - middleOfAll();
        entry.slowEvidence += Math.max(leastEvidenceOfOne, Math.min(mostEvidenceOfOne, evidence));
        entry.slowEvidence = Math.max(0, entry.slowEvidence);
        if (entry.slowEvidence >= evidenceToEject) {
            eject(engineId, EjectionReason.Slow);
        }
    };

    const acceptsWork = (engineId: string) => {
        const entry = refresh(engineId);
        return entry.standing === EngineHealthState.Healthy
            || entry.standing === EngineHealthState.Probing && entry.inFlight === 0;
    };

    const collect = (): JsonObject | undefined => {
        const ejected = [...entries.keys()].filter(engineId =>
            isLeftAlone(engineId) && !entries.get(engineId)!.byPeers
        );
        const section: HealthSection = { ejected };
        const isNews = ejected.length > 0 || hasTold;
        hasTold = ejected.length > 0;
        return isNews ? toJson(section) : undefined;
    };

    const receive = (processId: string, content: JsonObject) => {
        const section = content as unknown as HealthSection;
        const now = clock.monotonicNow();
        words.set(processId, { ejected: new Set(section.ejected), heardAt: now });
        for (const engineId of section.ejected) {
            const believers = [...words.values()].filter(word => isBeliever(word, engineId, now));
            if (believers.length >= peersToConvince && refresh(engineId).standing === EngineHealthState.Healthy) {
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
        standing: engineId => refresh(engineId).standing,
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

/** Peers repeat their word in each round, so one that has fallen silent is no witness. */
function isBeliever(word: PeerWord, engineId: string, now: number): boolean {
    return word.ejected.has(engineId) && now - word.heardAt <= peerWordMilliseconds;
}

function createEntry(): HealthEntry {
    return {
        standing: EngineHealthState.Healthy,
        failuresInRow: 0,
        slowEvidence: 0,
        averageLog: 0,
        samples: 0,
        byPeers: false,
        ejectedUntil: 0,
        ejections: 0,
        probesDone: 0,
        inFlight: 0,
    };
}

function resetEvidence(entry: HealthEntry): void {
    entry.failuresInRow = 0;
    entry.slowEvidence = 0;
    entry.averageLog = 0;
    entry.samples = 0;
}

import type { Clock } from "daisyturn-utils";
import { EnginePhase, EngineRole, type EngineState, type LoadReport } from "../../ports/engine.js";
import type { CacheView } from "./cacheView.js";
import { createEngineRates, type EngineRates } from "./engineRates.js";

/** Work that was sent to one engine, by this process or a peer. */
export interface SentWork {
    readonly engineId: string;
    /** Prompt tokens that the engine has to prefill; those it has in its cache are left out. */
    readonly prefillTokens: number;
    /** Prompt and output tokens for which it has to hold KV cache. */
    readonly kvTokens: number;
    /** Whether it decodes; a prefill part holds no place in the batch. */
    readonly decodes: boolean;
    /** Wall-clock time in milliseconds. */
    readonly sentAt: number;
    /** Set as soon as it is known. */
    streamId?: string;
}

/** Work that has left an engine. */
export interface FinishedWork {
    readonly engineId: string;
    /** Prompt tokens that were never prefilled, because the engine did not take the work. */
    readonly unstartedPrefillTokens: number;
    readonly kvTokens: number;
    readonly decodes: boolean;
    /** Wall-clock time in milliseconds. */
    readonly endedAt: number;
}

/**
 * One engine's load as this process estimates it: the last report, which lags, and what was sent after the time that
 * the report is about.
 */
export interface EngineLoad {
    readonly engineId: string;
    readonly rates: EngineRates;
    readonly cache: CacheView;
    role(): EngineRole;
    phase(): EnginePhase;
    report(): LoadReport | undefined;
    /** Monotonic time; undefined before the first report. */
    reportedAt(): number | undefined;
    applyReport(report: LoadReport): void;
    /** Last state read; undefined before the first. */
    state(): EngineState | undefined;
    applyState(state: EngineState): void;
    add(work: SentWork): void;
    end(work: FinishedWork): void;
    /** Prompt tokens prefilled a millisecond, with the streams that decode beside. */
    prefillPerMillisecond(): number;
    /** Milliseconds from the wall-clock time `now` until what waits is prefilled. */
    prefillWait(now: number): number;
    /** Streams that decode or wait to. */
    streams(): number;
    /** KV cache that is spoken for, in tokens; 0 if the engine doesn't report its capacity. */
    kvTokens(): number;
    kvCapacity(): number;
}

/** More unreported work than this of one engine is not kept. */
const maximumUnreported = 1_024;
/** Engine clocks may be off by this; a stream sent so shortly before a report that does not list it counts as new. */
const clockToleranceMilliseconds = 50;

/** Reports closer together, in milliseconds, tell too little of an engine's speed. */
const leastReportDistance = 100;

/** Creates the estimate of one engine, which serves nothing until its first report. */
export function createEngineLoad(engineId: string, cache: CacheView, clock: Clock): EngineLoad {
    const rates = createEngineRates();
    let report: LoadReport | undefined;
    let state: EngineState | undefined;
    let reportedAt: number | undefined;
    let unreported: SentWork[] = [];
    let endedSinceReport: FinishedWork[] = [];
    // Prompt tokens waiting at the wall-clock time `queueAt`; between two sends the engine works them off.
    let queueTokens = 0;
    let queueAt = clock.wallNow();
    let streams = 0;
    let kvTokens = 0;

    const prefillPerMillisecond = () => rates.prefillPerMillisecond(streams);

    const drainUntil = (wallTime: number) => {
        const elapsed = Math.max(0, wallTime - queueAt);
        queueTokens = Math.max(0, queueTokens - elapsed * prefillPerMillisecond());
        queueAt = Math.max(queueAt, wallTime);
    };

    const countSent = (work: SentWork) => {
        drainUntil(work.sentAt);
        queueTokens += work.prefillTokens;
        streams += work.decodes ? 1 : 0;
        kvTokens += work.kvTokens;
    };

    const countEnded = (work: FinishedWork) => {
        queueTokens = Math.max(0, queueTokens - work.unstartedPrefillTokens);
        streams = Math.max(0, streams - (work.decodes ? 1 : 0));
        kvTokens = Math.max(0, kvTokens - work.kvTokens);
    };

    /**
     * Learns from what was prefilled between two reports. The engine worked all the time only if the first queue alone
     * was enough for it; else what it did is only the least that it can do.
     */
    const learnThroughput = (before: LoadReport, next: LoadReport) => {
        const elapsed = next.asOf - before.asOf;
        if (elapsed < leastReportDistance || before.incarnation !== next.incarnation) {
            return;
        }
        const sent = unreported
            .filter(work => work.sentAt >= before.asOf && work.sentAt < next.asOf)
            .reduce((sum, work) => sum + work.prefillTokens, 0);
        const done = before.queuedPrefillTokens + sent - next.queuedPrefillTokens;
        const batch = (before.runningStreams + next.runningStreams) / 2;
        const wasBusy = done <= before.queuedPrefillTokens;
        if (done > 0 && (wasBusy || done / elapsed > rates.prefillPerMillisecond(batch))) {
            rates.observePrefill(batch, done / elapsed);
        }
    };

    const applyReport = (next: LoadReport) => {
        if (report && report.incarnation === next.incarnation && next.asOf < report.asOf) {
            return;
        }
        rates.decay();
        if (report) {
            learnThroughput(report, next);
        }
        const asOf = Math.min(next.asOf, clock.wallNow());
        const listed = next.recentStreamIds && new Set(next.recentStreamIds);
        unreported = unreported.filter(work => isUnreported(work, listed, asOf));
        endedSinceReport = endedSinceReport.filter(work => work.endedAt >= asOf);
        cache.applyIncarnation(next.incarnation);
        report = next;
        reportedAt = clock.monotonicNow();
        rates.setPrior(next.prefillRate, next.decodeRate);
        queueTokens = next.queuedPrefillTokens;
        queueAt = asOf;
        streams = next.runningStreams + next.queuedRequests;
        kvTokens = next.kvTokensUsed;
        unreported.forEach(countSent);
        endedSinceReport.forEach(countEnded);
    };

    const add = (work: SentWork) => {
        if (unreported.length < maximumUnreported && (!report || work.sentAt >= report.asOf)) {
            unreported.push(work);
            countSent(work);
        }
    };

    const end = (work: FinishedWork) => {
        if (endedSinceReport.length < maximumUnreported && (!report || work.endedAt >= report.asOf)) {
            endedSinceReport.push(work);
            countEnded(work);
        }
    };

    const prefillWait = (now: number) => {
        const perMillisecond = prefillPerMillisecond();
        const left = queueTokens - Math.max(0, now - queueAt) * perMillisecond;
        return Math.max(0, left / perMillisecond);
    };

    return {
        engineId,
        rates,
        cache,
        role: () => report?.role ?? EngineRole.Mixed,
        phase: () => report?.phase ?? EnginePhase.Changing,
        report: () => report,
        reportedAt: () => reportedAt,
        applyReport,
        state: () => state,
        applyState: next => {
            state = next;
        },
        add,
        end,
        prefillPerMillisecond,
        prefillWait,
        streams: () => streams,
        kvTokens: () => kvTokens,
        kvCapacity: () => report?.kvTokensCapacity ?? 0,
    };
}

/** Where a report lists streams, the list is believed; times settle the rest. */
function isUnreported(work: SentWork, listed: ReadonlySet<string> | undefined, asOf: number): boolean {
    if (listed === undefined || work.streamId === undefined) {
        return work.sentAt >= asOf;
    }
    return !listed.has(work.streamId) && work.sentAt > asOf - clockToleranceMilliseconds;
}

import type { Clock } from "daisyturn-utils";
import { EnginePhase, EngineRole, type EngineState, type LoadReport } from "../../ports/engine.js";
import type { CacheView } from "./cacheView.js";
import { createEngineRates, type EngineRates } from "./engineRates.js";

/** Work that this process or a peer has sent to an engine. */
export interface SentWork {
    readonly engineId: string;
    /** Prompt tokens that the engine has to prefill, without those in its prefix cache. */
    readonly prefillTokens: number;
    /** Prompt and output tokens for which the engine has to reserve KV cache. */
    readonly kvTokens: number;
    /** Whether the work includes decoding; prefill alone takes no slot in the batch. */
    readonly decodes: boolean;
    /** Wall-clock time in milliseconds. */
    readonly sentAt: number;
    /** Set as soon as the engine has assigned it. */
    streamId?: string;
}

/** Work that has ended on an engine or that the engine has not accepted. */
export interface FinishedWork {
    readonly engineId: string;
    /** Prompt tokens that were not prefilled, because the engine did not accept the work. */
    readonly unstartedPrefillTokens: number;
    readonly kvTokens: number;
    readonly decodes: boolean;
    /** Wall-clock time in milliseconds. */
    readonly endedAt: number;
}

/**
 * Estimated load of one engine. The estimate combines the last report, which is always somewhat old, with the work that
 * was sent or has ended after the report's own time.
 */
export interface EngineLoad {
    readonly engineId: string;
    readonly rates: EngineRates;
    readonly cache: CacheView;
    role(): EngineRole;
    phase(): EnginePhase;
    report(): LoadReport | undefined;
    /** Monotonic time at which the last report was received; undefined before the first report. */
    reportedAt(): number | undefined;
    applyReport(report: LoadReport): void;
    /** Last state read; undefined before the first read. */
    state(): EngineState | undefined;
    applyState(state: EngineState): void;
    recordSent(work: SentWork): void;
    recordFinished(work: FinishedWork): void;
    /** Prompt tokens prefilled per millisecond with the present number of streams. */
    prefillPerMillisecond(): number;
    /** Milliseconds from the wall-clock time `now` until the queued prompts are prefilled. */
    prefillWait(now: number): number;
    /** Streams that decode or are queued. */
    streams(): number;
    /** KV cache in use or reserved, in tokens. */
    kvTokens(): number;
    /** Capacity of the KV cache in tokens; 0 if the engine doesn't report it. */
    kvCapacity(): number;
}

/** Limit of the work items per engine that are stored because no report covers them yet. */
const maxUnreportedWork = 1_024;
/**
 * Engine clocks may differ by this much. A stream that was sent at most this long before a report's time is new to the
 * report if the report does not list it.
 */
const clockToleranceMilliseconds = 50;

/** Least time between two reports from which the prefill rate is learned. Less time gives too inaccurate a rate. */
const minReportDistanceMilliseconds = 100;

/** Creates the estimate for one engine, whose phase is not `Serving` until its first report. */
export function createEngineLoad(engineId: string, cache: CacheView, clock: Clock): EngineLoad {
    const rates = createEngineRates();
    let report: LoadReport | undefined;
    let state: EngineState | undefined;
    let reportedAt: number | undefined;
    let unreported: SentWork[] = [];
    let finishedSinceReport: FinishedWork[] = [];
    // Prompt tokens queued at the wall-clock time `queueAt`. Between two sends the engine prefills them.
    let queueTokens = 0;
    let queueAt = clock.wallNow();
    let streams = 0;
    let kvTokens = 0;

    const prefillPerMillisecond = () => rates.prefillPerMillisecond(streams);

    const advanceQueue = (wallTime: number) => {
        const elapsed = Math.max(0, wallTime - queueAt);
        queueTokens = Math.max(0, queueTokens - elapsed * prefillPerMillisecond());
        queueAt = Math.max(queueAt, wallTime);
    };

    const countSent = (work: SentWork) => {
        advanceQueue(work.sentAt);
        queueTokens += work.prefillTokens;
        streams += work.decodes ? 1 : 0;
        kvTokens += work.kvTokens;
    };

    const countFinished = (work: FinishedWork) => {
        queueTokens = Math.max(0, queueTokens - work.unstartedPrefillTokens);
        streams = Math.max(0, streams - (work.decodes ? 1 : 0));
        kvTokens = Math.max(0, kvTokens - work.kvTokens);
    };

    /**
     * Learns the prefill rate from the tokens prefilled between two reports. The engine was busy throughout only if
     * they were all in the queue of the first report. Otherwise the measured rate is only a lower bound.
     */
    const learnPrefillRate = (before: LoadReport, next: LoadReport) => {
        const elapsed = next.asOf - before.asOf;
        if (elapsed < minReportDistanceMilliseconds || before.incarnation !== next.incarnation) {
            return;
        }
        const sentTokens = unreported
            .filter(work => work.sentAt >= before.asOf && work.sentAt < next.asOf)
            .reduce((sum, work) => sum + work.prefillTokens, 0);
        const prefilledTokens = before.queuedPrefillTokens + sentTokens - next.queuedPrefillTokens;
        const batch = (before.runningStreams + next.runningStreams) / 2;
        const wasBusy = prefilledTokens <= before.queuedPrefillTokens;
        if (prefilledTokens > 0 && (wasBusy || prefilledTokens / elapsed > rates.prefillPerMillisecond(batch))) {
            rates.observePrefill(batch, prefilledTokens / elapsed);
        }
    };

    const applyReport = (next: LoadReport) => {
        if (report && report.incarnation === next.incarnation && next.asOf < report.asOf) {
            return;
        }
        rates.decay();
        if (report) {
            learnPrefillRate(report, next);
        }
        const asOf = Math.min(next.asOf, clock.wallNow());
        const listed = next.recentStreamIds && new Set(next.recentStreamIds);
        unreported = unreported.filter(work => isUnreported(work, listed, asOf));
        finishedSinceReport = finishedSinceReport.filter(work => work.endedAt >= asOf);
        cache.applyIncarnation(next.incarnation);
        report = next;
        reportedAt = clock.monotonicNow();
        rates.setPrior(next.prefillRate, next.decodeRate);
        queueTokens = next.queuedPrefillTokens;
        queueAt = asOf;
        streams = next.runningStreams + next.queuedRequests;
        kvTokens = next.kvTokensUsed;
        unreported.forEach(countSent);
        finishedSinceReport.forEach(countFinished);
    };

    const recordSent = (work: SentWork) => {
        if (unreported.length < maxUnreportedWork && (!report || work.sentAt >= report.asOf)) {
            unreported.push(work);
            countSent(work);
        }
    };

    const recordFinished = (work: FinishedWork) => {
        if (finishedSinceReport.length < maxUnreportedWork && (!report || work.endedAt >= report.asOf)) {
            finishedSinceReport.push(work);
            countFinished(work);
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
        recordSent,
        recordFinished,
        prefillPerMillisecond,
        prefillWait,
        streams: () => streams,
        kvTokens: () => kvTokens,
        kvCapacity: () => report?.kvTokensCapacity ?? 0,
    };
}

/** Decides by the report's list of streams if there is one and the stream's id is known, and otherwise by times. */
function isUnreported(work: SentWork, listed: ReadonlySet<string> | undefined, asOf: number): boolean {
    if (listed === undefined || work.streamId === undefined) {
        return work.sentAt >= asOf;
    }
    return !listed.has(work.streamId) && work.sentAt > asOf - clockToleranceMilliseconds;
}

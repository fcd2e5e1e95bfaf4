import type { EngineState, LoadReport } from "daisyturn";
import type { WorkCounts } from "./batch/jobLists.js";
import { decodeRate, prefillRate } from "./batch/speedModel.js";
import type { EngineSettings } from "./engineOptions.js";
import type { OrderDesk } from "./orderDesk.js";

/** Most stream ids in a load report; the newest are told. */
const reportedStreamIds = 512;

/** The engine's state as of now. */
export function describeEngineState(
    settings: EngineSettings,
    incarnation: string,
    desk: OrderDesk,
    counts: WorkCounts,
): EngineState {
    return {
        engineId: settings.id,
        incarnation,
        role: desk.role,
        phase: desk.phase,
        draining: desk.draining,
        models: desk.models,
        adapters: desk.adapters,
        version: desk.version,
        runningStreams: counts.running,
        queuedRequests: counts.queued,
        lastOrderId: desk.lastOrderId,
        highestFencingNumber: settings.checksFencing ? desk.highestFencingNumber : undefined,
    };
}

/** A sample of the load. Rates are told in real time, which is what readers measure in. */
export function measureEngineLoad(
    settings: EngineSettings,
    incarnation: string,
    desk: OrderDesk,
    counts: WorkCounts,
    streamIds: readonly string[],
    wallNow: number,
): LoadReport {
    return {
        engineId: settings.id,
        incarnation,
        asOf: wallNow,
        role: desk.role,
        phase: desk.phase,
        runningStreams: counts.running,
        queuedRequests: counts.queued,
        queuedPrefillTokens: counts.queuedPrefillTokens,
        outstandingOutputTokens: counts.outstandingOutputTokens,
        kvTokensUsed: counts.kvTokensUsed,
        kvTokensCapacity: settings.kvTokensCapacity,
        prefillRate: prefillRate(settings) * settings.speed,
        decodeRate: decodeRate(settings, 1) * settings.speed,
        recentStreamIds: streamIds.slice(-reportedStreamIds),
    };
}

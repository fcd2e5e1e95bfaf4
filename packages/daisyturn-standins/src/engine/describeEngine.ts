import type { EngineState, LoadReport } from "daisyturn";
import type { WorkCounts } from "./batch/jobLists.js";
import { decodeRate, prefillRate } from "./batch/speedModel.js";
import type { EngineSettings } from "./engineOptions.js";
import type { OrderHandler } from "./orderHandler.js";

/** Maximum number of stream ids in a load report. The newest ids are reported. */
const maxReportedStreamIds = 512;

/** Returns the current state of the engine. */
export function describeEngineState(
    settings: EngineSettings,
    incarnation: string,
    orderHandler: OrderHandler,
    counts: WorkCounts,
): EngineState {
    return {
        engineId: settings.id,
        incarnation,
        role: orderHandler.role,
        phase: orderHandler.phase,
        draining: orderHandler.draining,
        models: orderHandler.models,
        adapters: orderHandler.adapters,
        version: orderHandler.version,
        runningStreams: counts.running,
        queuedRequests: counts.queued,
        lastOrderId: orderHandler.lastOrderId,
        highestFencingNumber: settings.checksFencing ? orderHandler.highestFencingNumber : undefined,
    };
}

/** Samples the load. Rates are per second of real time, because consumers of the report measure in real time. */
export function measureEngineLoad(
    settings: EngineSettings,
    incarnation: string,
    orderHandler: OrderHandler,
    counts: WorkCounts,
    streamIds: readonly string[],
    wallNow: number,
): LoadReport {
    return {
        engineId: settings.id,
        incarnation,
        asOf: wallNow,
        role: orderHandler.role,
        phase: orderHandler.phase,
        runningStreams: counts.running,
        queuedRequests: counts.queued,
        queuedPrefillTokens: counts.queuedPrefillTokens,
        outstandingOutputTokens: counts.outstandingOutputTokens,
        kvTokensUsed: counts.kvTokensUsed,
        kvTokensCapacity: settings.kvTokensCapacity,
        prefillRate: prefillRate(settings) * settings.speed,
        decodeRate: decodeRate(settings, 1) * settings.speed,
        recentStreamIds: streamIds.slice(-maxReportedStreamIds),
    };
}

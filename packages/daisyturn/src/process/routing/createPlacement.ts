import type { Clock } from "daisyturn-utils";
import type { EngineHealth } from "../health/index.js";
import type { CacheMatch, EngineLoad, LoadView, OutputLengths, SentWorkHandle, TransferRate } from "../load/index.js";
import { findSoftwareVersion } from "./engineFilter.js";
import type { PlacementOption } from "./placementCost.js";
import { tokensPerBlock } from "./placementCost.js";
import { type Placement, PlacementOutcome, type PlacementUsage, type RoutingRequest } from "./router.js";

/** The components that a placement updates with its progress and outcome. */
export interface PlacementParts {
    readonly loadView: LoadView;
    readonly health: EngineHealth;
    readonly lengths: OutputLengths;
    readonly transfer: TransferRate;
    readonly clock: Clock;
    /** Called on the first token, and again at the end of the placement. */
    readonly onSettled: (placement: PendingPlacement) => void;
}

/** A placement that has not received its first token. */
export interface PendingPlacement {
    readonly engines: readonly string[];
    /** Monotonic times. */
    readonly placedAt: number;
    readonly expectedAt: number;
    /** Multiple of the expected time at which the delay is next recorded in the engine's health. */
    nextOverdueFactor: number;
}

/**
 * A request that waits this many times longer than expected counts against the engine even before the first token.
 */
const firstOverdueFactor = 4;
/** With fewer tokens, the measured time between tokens is too unreliable. */
const minTokensForRate = 8;
/** Added to actual and expected first-token times, so that ratios of very short times stay near 1. */
export const ratioFloorMilliseconds = 100;

/** Records the work as sent and creates the placement that removes it again when it ends. */
export function createPlacement(
    parts: PlacementParts,
    request: RoutingRequest,
    option: PlacementOption,
    match: CacheMatch,
): { readonly placement: Placement; readonly pending: PendingPlacement; } {
    const { clock, health } = parts;
    const placedAt = clock.monotonicNow();
    const prefillLoad = option.prefill ?? option.decode;
    const loads = option.prefill ? [option.prefill, option.decode] : [option.decode];
    const handles = recordSentWork(parts.loadView, request, option);
    const uncachedPrefill = request.promptTokens / prefillLoad.prefillPerMillisecond();
    const pending: PendingPlacement = {
        engines: loads.map(load => load.engineId),
        placedAt,
        expectedAt: placedAt + Math.max(option.firstToken, uncachedPrefill),
        nextOverdueFactor: firstOverdueFactor,
    };
    const batchAtStart = option.decode.streams();
    let prefilledAt: number | undefined;
    let firstTokenAt: number | undefined;
    let tokens = 0;
    let isOpen = true;

    loads.forEach(load => health.recordDispatch(load.engineId));
    prefillLoad.cache.addExpected(match.keys);

    const recordPrefilled = (usage?: PlacementUsage) => {
        prefilledAt = clock.monotonicNow();
        handles.get(prefillLoad)?.end();
        const predicted = option.firstToken - parts.transfer.estimate(request.promptTokens);
        recordPrefillSpeed(prefillLoad, predicted, prefilledAt - placedAt, usage);
    };

    const recordFirstToken = () => {
        if (firstTokenAt !== undefined) {
            return;
        }
        firstTokenAt = clock.monotonicNow();
        parts.onSettled(pending);
        if (prefilledAt !== undefined) {
            const decodeStart = option.decode.rates.betweenTokens(batchAtStart);
            parts.transfer.observe(request.promptTokens, firstTokenAt - prefilledAt - decodeStart);
        }
    };

    /** Corrects the prediction by the usage: an engine with fewer cached blocks than estimated is not slow. */
    const recordPrefillSpeed = (load: EngineLoad, predicted: number, actual: number, usage?: PlacementUsage) => {
        const uncached = usage ? option.matchedBlocks * tokensPerBlock - usage.cachedTokens : 0;
        const corrected = predicted + Math.max(0, uncached) / load.prefillPerMillisecond();
        load.rates.observeFirstToken(load.streams(), corrected, actual, option.prefillFraction);
        const ratio = (actual + ratioFloorMilliseconds) / (corrected + ratioFloorMilliseconds);
        health.recordFirstTokenRatio(load.engineId, ratio);
    };

    const recordDecodeRate = () => {
        if (firstTokenAt === undefined || tokens < minTokensForRate) {
            return;
        }
        const gap = (clock.monotonicNow() - firstTokenAt) / (tokens - 1);
        const batch = (batchAtStart + option.decode.streams()) / 2;
        option.decode.rates.observeBetweenTokens(batch, gap);
    };

    const recordCompleted = (usage?: PlacementUsage) => {
        loads.forEach(load => health.recordSuccess(load.engineId));
        recordDecodeRate();
        if (firstTokenAt !== undefined && prefilledAt === undefined) {
            recordPrefillSpeed(option.decode, option.firstToken, firstTokenAt - placedAt, usage);
        }
        parts.lengths.record(request.profile, usage?.outputTokens ?? tokens);
    };

    /** Removes the blocks that were expected in the cache ahead of a prefill that did not take place. */
    const forgetPrefix = () => {
        if (firstTokenAt === undefined && prefilledAt === undefined) {
            prefillLoad.cache.removeAfter(match.keys, option.matchedBlocks);
        }
    };

    const end = (outcome: PlacementOutcome, usage?: PlacementUsage) => {
        if (!isOpen) {
            return;
        }
        isOpen = false;
        parts.onSettled(pending);
        handles.forEach(handle => outcome === PlacementOutcome.Refused ? handle.withdraw() : handle.end());
        loads.forEach(load => health.recordEnd(load.engineId));
        switch (outcome) {
            case PlacementOutcome.Completed:
                recordCompleted(usage);
                break;
            case PlacementOutcome.Failed:
                health.recordFailure(failedEngine().engineId);
                forgetPrefix();
                break;
            case PlacementOutcome.Refused:
            case PlacementOutcome.Cancelled:
                forgetPrefix();
                break;
        }
    };

    const failedEngine = () => option.prefill && prefilledAt === undefined ? option.prefill : option.decode;

    const placement: Placement = {
        prefillEngine: option.prefill?.engineId,
        engine: option.decode.engineId,
        softwareVersion: findSoftwareVersion(option.decode),
        expectedFirstTokenAt: clock.wallNow() + option.firstToken,
        recordStream: (engine, streamId) => {
            loads.filter(load => load.engineId === engine).forEach(load => handles.get(load)?.setStreamId(streamId));
        },
        recordPrefilled,
        recordFirstToken,
        recordTokens: count => {
            tokens += count;
        },
        end,
    };
    return { placement, pending };
}

function recordSentWork(
    loadView: LoadView,
    request: RoutingRequest,
    option: PlacementOption,
): Map<EngineLoad, SentWorkHandle> {
    const kvTokens = request.promptTokens + request.expectedOutputTokens;
    const decodePart = {
        engineId: option.decode.engineId,
        prefillTokens: option.prefill ? 0 : option.prefillTokens,
        kvTokens,
        decodes: true,
    };
    const handles = new Map([[option.decode, loadView.recordSent(decodePart)]]);
    if (option.prefill) {
        const { engineId } = option.prefill;
        const kvOfPrompt = request.promptTokens;
        const part = { engineId, prefillTokens: option.prefillTokens, kvTokens: kvOfPrompt, decodes: false };
        handles.set(option.prefill, loadView.recordSent(part));
    }
    return handles;
}

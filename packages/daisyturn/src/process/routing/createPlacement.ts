import type { Clock } from "daisyturn-utils";
import type { EngineHealth } from "../health/index.js";
import type { CacheMatch, EngineLoad, LoadView, OutputLengths, SentWorkHandle, TransferRate } from "../load/index.js";
import type { PlacementOption } from "./placementCost.js";
import { tokensPerBlock } from "./placementCost.js";
import { type Placement, PlacementOutcome, type PlacementUsage, type RoutingRequest } from "./router.js";

/** What a placement tells about how it went. */
export interface PlacementParts {
    readonly loadView: LoadView;
    readonly health: EngineHealth;
    readonly lengths: OutputLengths;
    readonly transfer: TransferRate;
    readonly clock: Clock;
    /** Called once, when the first token has come or the placement has ended. */
    readonly onSettled: (placement: PendingPlacement) => void;
}

/** A placement whose first token has not come. */
export interface PendingPlacement {
    readonly engines: readonly string[];
    /** Monotonic times. */
    readonly placedAt: number;
    readonly expectedAt: number;
    /** Next overdue factor at which the delay counts against the engine. */
    nextOverdueFactor: number;
}

/** Waiting so many times as long as expected counts against an engine even before anything has come. */
const firstOverdueFactor = 4;
/** Fewer tokens than this say little about the time between them. */
const leastTokensForRate = 8;
/** First tokens sooner than this are too short to compare; in milliseconds. */
export const ratioFloorMilliseconds = 100;

/** Counts the work and creates the placement that takes it back. */
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
    const handles = countWork(parts.loadView, request, option);
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
        noteSpeed(prefillLoad, predicted, prefilledAt - placedAt, usage);
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

    /** Waits for the usage: an engine that had fewer blocks cached than was thought is not slow. */
    const noteSpeed = (load: EngineLoad, predicted: number, actual: number, usage?: PlacementUsage) => {
        const uncached = usage ? option.matchedBlocks * tokensPerBlock - usage.cachedTokens : 0;
        const corrected = predicted + Math.max(0, uncached) / load.prefillPerMillisecond();
        load.rates.observeFirstToken(load.streams(), corrected, actual, option.certainty);
        const ratio = (actual + ratioFloorMilliseconds) / (corrected + ratioFloorMilliseconds);
        health.recordFirstTokenRatio(load.engineId, ratio);
    };

    const noteDecodeRate = () => {
        if (firstTokenAt === undefined || tokens < leastTokensForRate) {
            return;
        }
        const gap = (clock.monotonicNow() - firstTokenAt) / (tokens - 1);
        const batch = (batchAtStart + option.decode.streams()) / 2;
        option.decode.rates.observeBetweenTokens(batch, gap);
    };

    const noteCompleted = (usage?: PlacementUsage) => {
        loads.forEach(load => health.recordSuccess(load.engineId));
        noteDecodeRate();
        if (firstTokenAt !== undefined && prefilledAt === undefined) {
            noteSpeed(option.decode, option.firstToken, firstTokenAt - placedAt, usage);
        }
        parts.lengths.record(request.profile, usage?.outputTokens ?? tokens);
    };

    /** What never was prefilled is not in the cache, whatever was entered ahead. */
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
                noteCompleted(usage);
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

function countWork(
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

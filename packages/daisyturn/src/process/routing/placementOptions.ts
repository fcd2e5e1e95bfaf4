import type { Random } from "daisyturn-utils";
import type { CacheMatch, EngineLoad, TransferRate } from "../load/index.js";
import { isDecode, isMixed } from "./engineFilter.js";
import {
    computePressure,
    createSingleEngineOption,
    createSplitOption,
    estimatePrefill,
    type PlacementOption,
    type PrefillEstimate,
} from "./placementCost.js";
import type { RoutingRequest } from "./router.js";

/** Decode engines are treated as equal if their time between tokens is at most this multiple of the shortest one. */
const decodeTimeTolerance = 1.02;
/** Factor by which the time between tokens is multiplied for an engine with a full KV cache. */
const fullCachePenalty = 10;

/** Lists the options for serving a request on the given engines. */
export function listPlacementOptions(
    request: RoutingRequest,
    engines: readonly EngineLoad[],
    match: CacheMatch,
    transfer: TransferRate,
    random: Random,
    now: number,
): PlacementOption[] {
    const prefills = engines
        .filter(load => !isDecode(load))
        .map(load => estimatePrefill(load, request, match.countMatchedBlocks(load.cache), now));
    const pressure = computePressure(prefills);
    const singleEngineOptions = prefills
        .filter(prefill => isMixed(prefill.load))
        .map(prefill => createSingleEngineOption(prefill, request, pressure, now));
    if (singleEngineOptions.length === engines.length) {
        return singleEngineOptions;
    }
    return [...singleEngineOptions, ...listSplits(request, prefills, engines, transfer, random, now)];
}

/**
 * Lists the options with prefill and decode on two engines. The two don't slow each other down, so the best decode
 * engine can be chosen independently of the prefill engine.
 */
function listSplits(
    request: RoutingRequest,
    prefills: readonly PrefillEstimate[],
    engines: readonly EngineLoad[],
    transfer: TransferRate,
    random: Random,
    now: number,
): PlacementOption[] {
    const decodeEngines = engines.filter(isDecode);
    const decode = pickNearBest(decodeEngines.length > 0 ? decodeEngines : engines.filter(isMixed), random);
    if (!decode) {
        return [];
    }
    const transferTime = transfer.estimate(request.promptTokens);
    return prefills
        .filter(prefill => isUsefulSplit(prefill.load, decode))
        .map(prefill => createSplitOption(prefill, decode, transferTime, request, computePressure(prefills), now));
}

/** Splitting a request between two mixed engines has no advantage over running it on one of them. */
function isUsefulSplit(prefill: EngineLoad, decode: EngineLoad): boolean {
    return prefill !== decode && !(isMixed(prefill) && isMixed(decode));
}

/** Picks at random among the engines that are about as fast as the best, so that processes don't all pick the same. */
function pickNearBest(decodeEngines: readonly EngineLoad[], random: Random): EngineLoad | undefined {
    const limit = Math.min(...decodeEngines.map(computeTokenInterval)) * decodeTimeTolerance;
    const near = decodeEngines.filter(load => computeTokenInterval(load) <= limit);
    return near[near.length > 1 ? random.integerBelow(near.length) : 0];
}

/** Milliseconds between tokens with one additional stream, more if the KV cache is full. */
function computeTokenInterval(load: EngineLoad): number {
    const isFull = load.kvCapacity() > 0 && load.kvTokens() >= load.kvCapacity();
    return load.rates.betweenTokens(load.streams() + 1) * (isFull ? fullCachePenalty : 1);
}

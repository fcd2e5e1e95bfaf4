import type { Random } from "daisyturn-utils";
import type { CacheMatch, EngineLoad, TransferRate } from "../load/index.js";
import { isDecode, isMixed } from "./engineFilter.js";
import {
    computePressure,
    estimatePrefill,
    type PlacementOption,
    type PrefillEstimate,
    splitOption,
    wholeOption,
} from "./placementCost.js";
import type { RoutingRequest } from "./router.js";

/** Decode engines whose time between tokens is at most this multiple of the best one's count as equal. */
const nearDecodeTime = 1.02;
/** How much worse an engine counts whose KV cache is full. */
const fullPenalty = 10;

/** Lists every way in which some engines could serve a request. */
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
        .map(load => estimatePrefill(load, request, match.matchedBy(load.cache), now));
    const pressure = computePressure(prefills);
    const wholes = prefills
        .filter(prefill => isMixed(prefill.load))
        .map(prefill => wholeOption(prefill, request, pressure, now));
    if (wholes.length === engines.length) {
        return wholes;
    }
    return [...wholes, ...listSplits(request, prefills, engines, transfer, random, now)];
}

/** Prefill and decode on two engines don't slow each other, so the best pair is made of the best of each. */
function listSplits(
    request: RoutingRequest,
    prefills: readonly PrefillEstimate[],
    engines: readonly EngineLoad[],
    transfer: TransferRate,
    random: Random,
    now: number,
): PlacementOption[] {
    const decodes = engines.filter(isDecode);
    const decode = pickNearBest(decodes.length > 0 ? decodes : engines.filter(isMixed), random);
    if (!decode) {
        return [];
    }
    const carried = transfer.estimate(request.promptTokens);
    return prefills
        .filter(prefill => isSpecialised(prefill.load, decode))
        .map(prefill => splitOption(prefill, decode, carried, request, computePressure(prefills), now));
}

/** A split between two mixed engines gains nothing that one of them alone could not give. */
function isSpecialised(prefill: EngineLoad, decode: EngineLoad): boolean {
    return prefill !== decode && !(isMixed(prefill) && isMixed(decode));
}

/** A random one of those that are as good as the best, or all processes would take the same. */
function pickNearBest(decodes: readonly EngineLoad[], random: Random): EngineLoad | undefined {
    const limit = Math.min(...decodes.map(decodeTime)) * nearDecodeTime;
    const near = decodes.filter(load => decodeTime(load) <= limit);
    return near[near.length > 1 ? random.integerBelow(near.length) : 0];
}

/** Milliseconds between tokens with one stream more. */
function decodeTime(load: EngineLoad): number {
    const isFull = load.kvCapacity() > 0 && load.kvTokens() >= load.kvCapacity();
    return load.rates.betweenTokens(load.streams() + 1) * (isFull ? fullPenalty : 1);
}

import { charactersPerToken, promptBlockCharacters } from "../../request/completion/promptBlocks.js";
import type { EngineLoad } from "../load/index.js";
import type { RoutingRequest } from "./router.js";

/** Prompt tokens in one block of the prefix cache. */
export const tokensPerBlock = promptBlockCharacters / charactersPerToken;

/** An option for serving a request on one engine or two. Times are in milliseconds from now. */
export interface PlacementOption {
    /** The prefill engine if prefill and decode run on two engines. */
    readonly prefill?: EngineLoad;
    readonly decode: EngineLoad;
    readonly matchedBlocks: number;
    /** Prompt tokens that have to be prefilled. */
    readonly prefillTokens: number;
    /** Until the engine starts the request. */
    readonly wait: number;
    /** Until the first token. */
    readonly firstToken: number;
    readonly betweenTokens: number;
    /** Expected milliseconds to the last token, plus penalties for missed limits and for prefill under load. */
    readonly cost: number;
    /** Fraction of the time to the first token that is the request's own prefill, from 0 to 1. */
    readonly prefillFraction: number;
}

/** Estimate of a request's prefill on one engine. Times are in milliseconds. */
export interface PrefillEstimate {
    readonly load: EngineLoad;
    readonly matchedBlocks: number;
    /** Prompt tokens that are not in the prefix cache. */
    readonly tokens: number;
    /** Until the engine starts the prefill. */
    readonly wait: number;
    readonly prefillTime: number;
}

/** Cost of a millisecond beyond a limit, relative to a millisecond within it. */
const lateTimeWeight = 4;

/** Average wait at which the pressure is 1, so that prefill time counts twice. */
const pressureWaitMilliseconds = 200;
/** Upper limit of the pressure: prefill time counts at most `1 + maxPressure` times. */
const maxPressure = 3;

/**
 * Computes the additional weight of prefill time in the cost. On loaded engines, prefill that a cache hit would have
 * saved delays later requests; on idle engines it delays none.
 */
export function computePressure(prefills: readonly PrefillEstimate[]): number {
    const waits = prefills.reduce((sum, prefill) => sum + prefill.wait, 0);
    return Math.min(maxPressure, waits / Math.max(1, prefills.length) / pressureWaitMilliseconds);
}

/** Estimates the prefill of a request on one engine. */
export function estimatePrefill(
    load: EngineLoad,
    request: RoutingRequest,
    matchedBlocks: number,
    now: number,
): PrefillEstimate {
    // At least one token is always computed, because its logits give the first output token.
    const tokens = Math.max(1, request.promptTokens - matchedBlocks * tokensPerBlock);
    const prefillTime = tokens / load.prefillPerMillisecond();
    return { load, matchedBlocks, tokens, wait: load.prefillWait(now), prefillTime };
}

/** Creates the option of prefill and decode on one engine. */
export function createSingleEngineOption(
    prefill: PrefillEstimate,
    request: RoutingRequest,
    pressure: number,
    now: number,
): PlacementOption {
    const decode = prefill.load;
    const betweenTokens = decode.rates.betweenTokens(decode.streams() + 1);
    // A request that arrives during a step waits for the next one.
    const wait = prefill.wait + estimateMemoryWait(decode, request, betweenTokens);
    const firstToken = wait + prefill.prefillTime + betweenTokens;
    return {
        decode,
        matchedBlocks: prefill.matchedBlocks,
        prefillTokens: prefill.tokens,
        wait,
        firstToken,
        betweenTokens,
        cost: computePlacementCost(request, now, firstToken, betweenTokens) + pressure * prefill.prefillTime,
        prefillFraction: prefill.prefillTime / Math.max(1, firstToken),
    };
}

/** Creates the option of two engines, with the KV cache transferred between them in `transfer` milliseconds. */
export function createSplitOption(
    prefill: PrefillEstimate,
    decode: EngineLoad,
    transfer: number,
    request: RoutingRequest,
    pressure: number,
    now: number,
): PlacementOption {
    const betweenTokens = decode.rates.betweenTokens(decode.streams() + 1);
    const wait = prefill.wait + estimateMemoryWait(decode, request, betweenTokens);
    const firstToken = wait + prefill.prefillTime + transfer + betweenTokens;
    return {
        prefill: prefill.load,
        decode,
        matchedBlocks: prefill.matchedBlocks,
        prefillTokens: prefill.tokens,
        wait,
        firstToken,
        betweenTokens,
        cost: computePlacementCost(request, now, firstToken, betweenTokens) + pressure * prefill.prefillTime,
        prefillFraction: prefill.prefillTime / Math.max(1, firstToken),
    };
}

/** Milliseconds from now to the last token, with time beyond a limit weighted by `lateTimeWeight` in addition. */
function computePlacementCost(request: RoutingRequest, now: number, firstToken: number, betweenTokens: number): number {
    const firstTokenExcess = Math.max(0, firstToken - (request.firstTokenDeadline - now));
    const betweenTokensExcess = Math.max(0, betweenTokens - request.profile.betweenTokensLimitMilliseconds);
    const decodeTime = request.expectedOutputTokens * betweenTokens;
    const excessTime = firstTokenExcess + request.expectedOutputTokens * betweenTokensExcess;
    return firstToken + decodeTime + lateTimeWeight * excessTime;
}

/**
 * Estimates the milliseconds until the engine has enough free KV cache for the request. Assumes that running streams
 * release theirs evenly over their remaining time.
 */
function estimateMemoryWait(load: EngineLoad, request: RoutingRequest, betweenTokens: number): number {
    const missing = load.kvTokens() + request.promptTokens + request.expectedOutputTokens - load.kvCapacity();
    const report = load.report();
    if (load.kvCapacity() <= 0 || missing <= 0 || !report) {
        return 0;
    }
    const streams = Math.max(1, report.runningStreams + report.queuedRequests);
    const drainTime = report.outstandingOutputTokens / streams * betweenTokens;
    return drainTime * missing / Math.max(1, load.kvTokens());
}

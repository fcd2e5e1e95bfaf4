import { charactersPerToken, promptBlockCharacters } from "../../request/completion/promptBlocks.js";
import type { EngineLoad } from "../load/index.js";
import type { RoutingRequest } from "./router.js";

/** Prompt tokens in one block of the prefix cache. */
export const tokensPerBlock = promptBlockCharacters / charactersPerToken;

/** One way to serve a request. Times are in milliseconds from now. */
export interface PlacementOption {
    /** Where prefill and decode run apart: the engine that prefills. */
    readonly prefill?: EngineLoad;
    readonly decode: EngineLoad;
    readonly matchedBlocks: number;
    /** Prompt tokens that have to be prefilled. */
    readonly prefillTokens: number;
    /** Until the engine turns to the request. */
    readonly wait: number;
    /** Until the first token. */
    readonly firstToken: number;
    readonly betweenTokens: number;
    /** Expected milliseconds to the last token, with penalties for limits that would be missed. */
    readonly cost: number;
    /** The part of the first-token time that is the request's own prefill, from 0 to 1. */
    readonly prefillFraction: number;
}

/** What one engine would do for the prefill of a request. */
export interface PrefillEstimate {
    readonly load: EngineLoad;
    readonly matchedBlocks: number;
    readonly tokens: number;
    readonly wait: number;
    readonly own: number;
}

/** A millisecond past a limit costs as much as this many spent within it. */
const lateness = 4;

/** Average wait at which engine time counts twice, in milliseconds, and how often it may count more at most. */
const pressingWait = 200;
const mostPressure = 3;

/**
 * How much dearer engine time is than time itself. The more waits, the more does work that a cache would have saved
 * delay those who come after; on idle engines it delays nobody.
 */
export function computePressure(prefills: readonly PrefillEstimate[]): number {
    const waits = prefills.reduce((sum, prefill) => sum + prefill.wait, 0);
    return Math.min(mostPressure, waits / Math.max(1, prefills.length) / pressingWait);
}

/** Estimates the prefill of a request on one engine. */
export function estimatePrefill(
    load: EngineLoad,
    request: RoutingRequest,
    matchedBlocks: number,
    now: number,
): PrefillEstimate {
    // At least one token is always computed: the one whose logits give the first output.
    const tokens = Math.max(1, request.promptTokens - matchedBlocks * tokensPerBlock);
    const own = tokens / load.prefillPerMillisecond();
    return { load, matchedBlocks, tokens, wait: load.prefillWait(now), own };
}

/** The option of one engine doing both parts. */
export function wholeOption(
    prefill: PrefillEstimate,
    request: RoutingRequest,
    pressure: number,
    now: number,
): PlacementOption {
    const decode = prefill.load;
    const betweenTokens = decode.rates.betweenTokens(decode.streams() + 1);
    // A request that comes in the middle of a step waits for the next one.
    const wait = prefill.wait + waitForMemory(decode, request, betweenTokens);
    const firstToken = wait + prefill.own + betweenTokens;
    return {
        decode,
        matchedBlocks: prefill.matchedBlocks,
        prefillTokens: prefill.tokens,
        wait,
        firstToken,
        betweenTokens,
        cost: placementCost(request, now, firstToken, betweenTokens) + pressure * prefill.own,
        prefillFraction: prefill.own / Math.max(1, firstToken),
    };
}

/** The option of two engines, with the KV cache carried over in `transfer` milliseconds. */
export function splitOption(
    prefill: PrefillEstimate,
    decode: EngineLoad,
    transfer: number,
    request: RoutingRequest,
    pressure: number,
    now: number,
): PlacementOption {
    const betweenTokens = decode.rates.betweenTokens(decode.streams() + 1);
    const wait = prefill.wait + waitForMemory(decode, request, betweenTokens);
    const firstToken = wait + prefill.own + transfer + betweenTokens;
    return {
        prefill: prefill.load,
        decode,
        matchedBlocks: prefill.matchedBlocks,
        prefillTokens: prefill.tokens,
        wait,
        firstToken,
        betweenTokens,
        cost: placementCost(request, now, firstToken, betweenTokens) + pressure * prefill.own,
        prefillFraction: prefill.own / Math.max(1, firstToken),
    };
}

/** Milliseconds from now to the last token, more where a limit of the profile would be missed. */
function placementCost(request: RoutingRequest, now: number, firstToken: number, betweenTokens: number): number {
    const firstTokenLate = Math.max(0, firstToken - (request.firstTokenDeadline - now));
    const betweenLate = Math.max(0, betweenTokens - request.profile.betweenTokensLimitMilliseconds);
    const decodeTime = request.expectedOutputTokens * betweenTokens;
    const lateTime = firstTokenLate + request.expectedOutputTokens * betweenLate;
    return firstToken + decodeTime + lateness * lateTime;
}

/**
 * Until the engine has KV cache free for the request. Streams that end give theirs back, about evenly over the time
 * that the running ones still take.
 */
function waitForMemory(load: EngineLoad, request: RoutingRequest, betweenTokens: number): number {
    const missing = load.kvTokens() + request.promptTokens + request.expectedOutputTokens - load.kvCapacity();
    const report = load.report();
    if (load.kvCapacity() <= 0 || missing <= 0 || !report) {
        return 0;
    }
    const streams = Math.max(1, report.runningStreams + report.queuedRequests);
    const drainTime = report.outstandingOutputTokens / streams * betweenTokens;
    return drainTime * missing / Math.max(1, load.kvTokens());
}

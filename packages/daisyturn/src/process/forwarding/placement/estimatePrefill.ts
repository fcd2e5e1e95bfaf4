import type { PrefillRate } from "../views/createPrefillRates.js";

/** Fixed part of each prefill: its share of a step, which often prefills several prompts. */
const stepMilliseconds = 2;
/** An engine that also decodes prefills at half the speed, between the tokens of other requests. */
export const decodeEngineFactor = 2;
/** Time to set up a transfer of KV cache. */
const transferSetupMilliseconds = 3;
/** Transfers between availability zones take twice as long. */
const otherZoneFactor = 2;
const bitsPerByte = 8;
/** Bits that a link of one megabit per second transfers in a millisecond. */
const bitsPerMillisecond = 1_000;
const pairsPerMillion = 1e6;

/**
 * Estimates the milliseconds to prefill a prompt of which the first `keptTokens` are in the engine's cache, without the
 * engine's slowdown. This factor is learned and applied separately (`createSlowdownEstimates`).
 */
export function estimatePrefill(
    rate: PrefillRate,
    promptTokens: number,
    keptTokens: number,
    isDecodeEngine: boolean,
): number {
    const tokens = Math.max(1, promptTokens - keptTokens);
    const pairs = tokens * (keptTokens + tokens / 2) / pairsPerMillion;
    const own = tokens * rate.tokenMilliseconds + pairs * rate.pairMilliseconds;
    return stepMilliseconds + own * (isDecodeEngine ? decodeEngineFactor : 1);
}

/** Converts the duration of a prefill to that at an engine which only prefills, without the fixed part. */
export function normalizePrefillMilliseconds(milliseconds: number, isDecodeEngine: boolean): number {
    return Math.max(0, milliseconds - stepMilliseconds) / (isDecodeEngine ? decodeEngineFactor : 1);
}

/** Estimates the milliseconds to move the KV cache of a prompt between two engines. */
export function estimateTransfer(
    tokens: number,
    bytesPerToken: number,
    linkMegabits: number,
    isOtherZone: boolean,
): number {
    const bits = tokens * bytesPerToken * bitsPerByte;
    const transferMilliseconds = linkMegabits > 0 ? bits / (linkMegabits * bitsPerMillisecond) : 0;
    return transferSetupMilliseconds + transferMilliseconds * (isOtherZone ? otherZoneFactor : 1);
}

import type { PrefillRate } from "../views/createPrefillRates.js";

/** Fixed part of each prefill: its share of a step, which it often has in common with others. */
const stepMilliseconds = 2;
/** An engine that also decodes reads prompts at half the speed, between the tokens of other requests. */
export const sharedEngineFactor = 2;
/** Setting up a transfer of KV cache. */
const transferSetupMilliseconds = 3;
/** Links between availability zones take twice as long. */
const otherZoneFactor = 2;
const bitsPerByte = 8;
/** Bits that a link of one megabit a second carries in a millisecond. */
const bitsPerMillisecond = 1_000;
const pairsPerMillion = 1e6;

/**
 * Time to read a prompt of which the first `keptTokens` are in the engine's cache, while nothing slows the engine.
 * What an engine really takes is learned as a factor on top (`createSlowdownEstimates`).
 */
export function estimatePrefill(
    rate: PrefillRate,
    promptTokens: number,
    keptTokens: number,
    isShared: boolean,
): number {
    const tokens = Math.max(1, promptTokens - keptTokens);
    const pairs = tokens * (keptTokens + tokens / 2) / pairsPerMillion;
    const own = tokens * rate.tokenMilliseconds + pairs * rate.pairMilliseconds;
    return stepMilliseconds + own * (isShared ? sharedEngineFactor : 1);
}

/** What a prefill that took so long tells of the rates of engines that only prefill, in milliseconds without its fixed part. */
export function toUnsharedMilliseconds(milliseconds: number, isShared: boolean): number {
    return Math.max(0, milliseconds - stepMilliseconds) / (isShared ? sharedEngineFactor : 1);
}

/** Time to move the KV cache of a prompt between two engines. */
export function estimateTransfer(
    tokens: number,
    bytesPerToken: number,
    linkMegabits: number,
    isOtherZone: boolean,
): number {
    const bits = tokens * bytesPerToken * bitsPerByte;
    const carried = linkMegabits > 0 ? bits / (linkMegabits * bitsPerMillisecond) : 0;
    return transferSetupMilliseconds + carried * (isOtherZone ? otherZoneFactor : 1);
}

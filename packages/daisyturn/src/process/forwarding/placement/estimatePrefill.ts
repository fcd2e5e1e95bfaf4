/**
 * How long engines take for a prompt, in milliseconds, while nothing slows them. What an engine really takes is learned as
 * a factor on top (`createPaceView`), so for placement only the ratio of these figures matters. Refusals go by them as
 * they are: they must not be slower than engines, which were seen to read 64 to 68 tokens in a millisecond and to take
 * 0.24 ms for a million pairs, with a model of some ten billion active parameters.
 */

/** Prompt tokens read in a millisecond, without attention to what stands before them. */
const tokensPerMillisecond = 65;
/** Milliseconds for a million pairs of a token and one before it. */
const attentionMilliseconds = 0.25;
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

/** Time to read a prompt of which the first `keptTokens` are in the engine's cache. */
export function estimatePrefill(promptTokens: number, keptTokens: number, isShared: boolean): number {
    const tokens = Math.max(1, promptTokens - keptTokens);
    const pairs = tokens * (keptTokens + tokens / 2) / pairsPerMillion;
    const own = tokens / tokensPerMillisecond + pairs * attentionMilliseconds;
    return stepMilliseconds + own * (isShared ? sharedEngineFactor : 1);
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

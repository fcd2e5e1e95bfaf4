import type { Random } from "daisyturn-utils";
import type { PromptDescription } from "../../../ports/forwardedCall.js";

/** Draws the prompts of an overload: long ones with shared prefixes and widely varying lengths, and short ones. */
export interface OverloadPrompts {
    createLong(ownId: string): PromptDescription;
    createShort(ownId: string): PromptDescription;
}

/** Prefixes that long prompts share: their number, their mean length, and the spread of its natural logarithm. */
const sharedTexts = 47;
const meanSharedTokens = 10_500;
const sharedSpread = 0.7;
/** Tokens that a long prompt adds to its prefix. */
const meanOwnTokens = 2_000;
const ownSpread = 1.1;
const shortTokens = 380;
const answerLimits = { model: "m", maxOutputTokens: 200, expectedOutputTokens: 100 };

/** Creates the source of prompts. The same seed of `random` gives the same prompts. */
export function createOverloadPrompts(random: Random): OverloadPrompts {
    const texts = Array.from({ length: sharedTexts }, () => drawTokens(random, meanSharedTokens, sharedSpread));
    return {
        createLong: ownId => {
            const text = Math.floor(random.fraction() * sharedTexts);
            const shared = texts[text] ?? meanSharedTokens;
            const own = drawTokens(random, meanOwnTokens, ownSpread);
            const parts = [{ partId: `text-${text}`, tokens: shared }, { partId: ownId, tokens: own }];
            return { ...answerLimits, promptTokens: shared + own, parts };
        },
        createShort: ownId => ({
            ...answerLimits,
            promptTokens: shortTokens,
            parts: [{ partId: ownId, tokens: shortTokens }],
        }),
    };
}

/** Draws a length whose logarithm is spread symmetrically around that of the mean. */
function drawTokens(random: Random, mean: number, spread: number): number {
    return Math.round(mean * Math.exp((random.fraction() + random.fraction() + random.fraction() - 1.5) * 2 * spread));
}

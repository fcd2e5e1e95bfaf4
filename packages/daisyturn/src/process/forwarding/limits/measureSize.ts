import type { PromptDescription } from "../../../ports/forwardedCall.js";

/** The lengths from which the size of a prompt is computed. */
export type SizedPrompt = Pick<PromptDescription, "promptTokens" | "maxOutputTokens">;

/**
 * Cost of an output token in prompt tokens. It takes an engine step of its own, while prompts are prefilled in chunks.
 */
const outputTokenWeight = 10;

/** Returns the size of a prompt with its answer, in prompt tokens. Prompts of a route are compared by this size. */
export function measureSize({ promptTokens, maxOutputTokens }: SizedPrompt): number {
    return promptTokens + maxOutputTokens * outputTokenWeight;
}

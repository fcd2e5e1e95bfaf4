import type { PromptDescription } from "../../../ports/forwardedCall.js";

/** The lengths that make up the size of a prompt. */
export type SizedPrompt = Pick<PromptDescription, "promptTokens" | "maxOutputTokens">;

/** What an output token costs an engine, in prompt tokens: it takes a step of its own, where prompts are read in chunks. */
const outputTokenWeight = 10;

/** Size of a prompt with its answer, in prompt tokens; prompts of a route are compared by it. */
export function measureSize({ promptTokens, maxOutputTokens }: SizedPrompt): number {
    return promptTokens + maxOutputTokens * outputTokenWeight;
}

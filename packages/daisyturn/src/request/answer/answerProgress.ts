import type { StreamTokens } from "../../ports/engine.js";

/** Progress of an answer, over all engines that generated parts of it. */
export interface AnswerProgress {
    /** Number of tokens delivered. */
    offset: number;
    /** Text of these tokens; undefined if this process does not have the beginning of the answer. */
    text: string | undefined;
}

/** Creates the progress of an answer that has no tokens yet. */
export function createProgress(): AnswerProgress {
    return { offset: 0, text: "" };
}

/** Adds delivered tokens to the progress. */
export function addTokens(progress: AnswerProgress, tokens: StreamTokens): void {
    progress.offset += tokens.tokenCount;
    if (progress.text !== undefined) {
        progress.text += tokens.text;
    }
}

import type { StreamTokens } from "../../ports/engine.js";

/** How far an answer has come, over all engines that worked on it. */
export interface AnswerProgress {
    /** Tokens delivered. */
    offset: number;
    /** Their text; undefined where this process has not seen the beginning. */
    text: string | undefined;
}

/** The progress of an answer of which nothing was delivered. */
export function createProgress(): AnswerProgress {
    return { offset: 0, text: "" };
}

/** Adds tokens that were delivered. */
export function addTokens(progress: AnswerProgress, tokens: StreamTokens): void {
    progress.offset += tokens.tokenCount;
    if (progress.text !== undefined) {
        progress.text += tokens.text;
    }
}

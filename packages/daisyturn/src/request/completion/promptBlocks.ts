import createHasher from "xxhash-wasm";

/** Characters of prompt text that make one block of the prefix cache. */
export const promptBlockCharacters = 256;
/** Characters that make one token on average in the served languages; used where only text is at hand. */
export const charactersPerToken = 4;

const hasher = await createHasher();

/** Estimated tokens of a text. */
export function estimateTokenCount(text: string): number {
    return Math.ceil(text.length / charactersPerToken);
}

/**
 * Hashes of the prompt's whole blocks, each chained to the one before: equal hashes mean equal prefixes.
 * A last block that is not full is left out.
 */
export function hashPromptBlocks(prompt: string): string[] {
    const blockCount = Math.floor(prompt.length / promptBlockCharacters);
    const hashes: string[] = [];
    let previous = 0n;
    for (let index = 0; index < blockCount; index++) {
        const start = index * promptBlockCharacters;
        previous = hasher.h64(prompt.slice(start, start + promptBlockCharacters), previous);
        hashes.push(previous.toString(16));
    }
    return hashes;
}

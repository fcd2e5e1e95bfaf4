import createHasher from "xxhash-wasm";

/** Number of characters of prompt text in one block of the prefix cache. */
export const promptBlockCharacters = 256;
/** Average number of characters per token in the served languages; used where only the text is known. */
export const charactersPerToken = 4;

const hasher = await createHasher();

/** Estimates the number of tokens in a text. */
export function estimateTokenCount(text: string): number {
    return Math.ceil(text.length / charactersPerToken);
}

/**
 * Hashes the full blocks of a prompt. Each hash is chained to the previous one, so that equal hashes mean equal
 * prefixes. An incomplete last block is omitted.
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

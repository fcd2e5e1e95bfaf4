/**
 * Blocks as numbers: two 32-bit words for each. Two blocks with the same key would only make an estimate wrong, and
 * with 64 bits that is too rare to care about.
 */
export type BlockKeys = Int32Array;

const lowBasis = 0x811c9dc5 | 0;
const highBasis = 0x2f0b4a27;
const lowPrime = 0x01000193;
const highPrime = 0x85ebca6b;

/** Computes the keys of all blocks. */
export function hashBlocks(blocks: readonly string[]): BlockKeys {
    const keys = new Int32Array(2 * blocks.length);
    for (let index = 0; index < blocks.length; index++) {
        const block = blocks[index]!;
        let low = lowBasis;
        let high = highBasis;
        for (let place = 0; place < block.length; place++) {
            const code = block.charCodeAt(place);
            low = Math.imul(low ^ code, lowPrime);
            high = Math.imul(high ^ code, highPrime) ^ low >>> 15;
        }
        keys[2 * index] = low;
        keys[2 * index + 1] = high;
    }
    return keys;
}

/**
 * 64-bit hashes of blocks, as two 32-bit words per block. A collision only makes an estimate wrong, and is
 * too rare with 64 bits to matter.
 */
export type BlockKeys = Int32Array;

const lowBasis = 0x811c9dc5 | 0;
const highBasis = 0x2f0b4a27;
const lowPrime = 0x01000193;
const highPrime = 0x85ebca6b;

export function hashBlocks(blocks: readonly string[]): BlockKeys {
    const keys = new Int32Array(2 * blocks.length);
    for (let index = 0; index < blocks.length; index++) {
        const block = blocks[index]!;
        let low = lowBasis;
        let high = highBasis;
        for (let position = 0; position < block.length; position++) {
            const code = block.charCodeAt(position);
            low = Math.imul(low ^ code, lowPrime);
            high = Math.imul(high ^ code, highPrime) ^ low >>> 15;
        }
        keys[2 * index] = low;
        keys[2 * index + 1] = high;
    }
    return keys;
}

/** Index of an engine in the table, below {@link maxSlots}. */
export type EngineSlot = number;

/** Number of 32-bit words in the bit mask of the engines that cache a block. */
export const wordsPerRow = 4;
export const maxSlots = wordsPerRow * 32 - 1;
/** Slot of an engine for which the table has no space; such an engine is presumed to cache nothing. */
export const noSlot: EngineSlot = maxSlots;
/** Result of `find` and `addBlock` if there is no row. */
export const noRow = -1;

/**
 * Prompt blocks and the engines that are presumed to cache them, with one row per block. It is a hash table with
 * chaining in one flat array, and each row fills one cache line. A routing decision reads about a hundred blocks;
 * with a map of strings, cache misses took more time than the rest of the decision.
 * An engine's blocks belong to two generations, numbered 0 and 1 alternately. A block may be in both.
 */
export interface BlockTable {
    /** Row of the block, if any engine caches it. Rows are reused, so the result is valid until the next change. */
    find(low: number, high: number): number;
    /** One word of the bit mask of the engines that cache the row's block; each word covers 32 engines. */
    engineMask(row: number, word: number): number;
    /**
     * Adds the block to a generation of the engine. Returns its row, or {@link noRow} if the generation already
     * contains the block or the table is full.
     */
    addBlock(slot: EngineSlot, generation: number, low: number, high: number): number;
    /** Removes the row's block from a generation of the engine. */
    removeRow(slot: EngineSlot, generation: number, row: number): void;
    /** Removes the block from both generations of the engine. */
    removeBlock(slot: EngineSlot, low: number, high: number): void;
    /** Number of blocks that at least one engine caches. */
    size(): number;
}

/** Offsets of the fields within a row. */
const lowOffset = 0;
const highOffset = 1;
const nextOffset = 2;
const enginesOffset = 4;
const rowLength = 16;

/** Creates an empty table for at most `maxRows` blocks. */
export function createBlockTable(maxRows: number): BlockTable {
    const bucketCount = 2 ** Math.ceil(Math.log2(maxRows));
    const buckets = new Int32Array(bucketCount).fill(noRow);
    const data = new Int32Array(maxRows * rowLength);
    const freeRows: number[] = [];
    let usedRows = 0;

    const find = (low: number, high: number) => {
        let row = buckets[low & bucketCount - 1]!;
        while (row !== noRow && (data[row * rowLength]! !== low || data[row * rowLength + highOffset]! !== high)) {
            row = data[row * rowLength + nextOffset]!;
        }
        return row;
    };

    const allocateRow = (low: number, high: number) => {
        const row = freeRows.pop() ?? usedRows;
        if (row >= maxRows) {
            return noRow;
        }
        usedRows = Math.max(usedRows, row + 1);
        const bucket = low & bucketCount - 1;
        data[row * rowLength + lowOffset] = low;
        data[row * rowLength + highOffset] = high;
        data[row * rowLength + nextOffset] = buckets[bucket]!;
        buckets[bucket] = row;
        return row;
    };

    const isCached = (row: number) => {
        for (let offset = row * rowLength + enginesOffset; offset < (row + 1) * rowLength; offset++) {
            if (data[offset]! !== 0) {
                return true;
            }
        }
        return false;
    };

    const freeRow = (row: number) => {
        const bucket = data[row * rowLength + lowOffset]! & bucketCount - 1;
        const next = data[row * rowLength + nextOffset]!;
        let previous = buckets[bucket]!;
        if (previous === row) {
            buckets[bucket] = next;
        }
        else {
            while (data[previous * rowLength + nextOffset]! !== row) {
                previous = data[previous * rowLength + nextOffset]!;
            }
            data[previous * rowLength + nextOffset] = next;
        }
        freeRows.push(row);
    };

    const findMaskOffset = (row: number, slot: EngineSlot, generation: number) =>
        row * rowLength + enginesOffset + generation * wordsPerRow + (slot >>> 5);

    const addBlock = (slot: EngineSlot, generation: number, low: number, high: number) => {
        const found = find(low, high);
        const row = found === noRow ? allocateRow(low, high) : found;
        if (row === noRow) {
            return noRow;
        }
        const offset = findMaskOffset(row, slot, generation);
        const bit = 1 << (slot & 31);
        if ((data[offset]! & bit) !== 0) {
            return noRow;
        }
        data[offset]! |= bit;
        return row;
    };

    const removeRow = (slot: EngineSlot, generation: number, row: number) => {
        const offset = findMaskOffset(row, slot, generation);
        const bit = 1 << (slot & 31);
        if ((data[offset]! & bit) === 0) {
            return;
        }
        data[offset]! ^= bit;
        if (!isCached(row)) {
            freeRow(row);
        }
    };

    const removeBlock = (slot: EngineSlot, low: number, high: number) => {
        const row = find(low, high);
        if (row !== noRow) {
            removeRow(slot, 0, row);
            removeRow(slot, 1, row);
        }
    };

    const engineMask = (row: number, word: number) =>
        data[row * rowLength + enginesOffset + word]! | data[row * rowLength + enginesOffset + wordsPerRow + word]!;

    return { find, engineMask, addBlock, removeRow, removeBlock, size: () => usedRows - freeRows.length };
}

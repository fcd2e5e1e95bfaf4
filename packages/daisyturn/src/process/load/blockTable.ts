/** Number of an engine in the table, below {@link maximumSlots}. */
export type EngineSlot = number;

/** 32-bit words for the engines that hold a block. */
export const wordsPerRow = 4;
export const maximumSlots = wordsPerRow * 32 - 1;
/** Of an engine for which there is no place; it is taken to hold nothing. */
export const noSlot: EngineSlot = maximumSlots;
/** What `find` and `enter` answer where there is no row. */
export const noRow = -1;

/**
 * Prompt blocks and the engines that are thought to hold them, one row for each block. It is a hash table with chains
 * in one flat array, a cache line for each row: a decision touches a hundred blocks, and a map of strings cost more
 * time in cache misses than all the rest.
 * An engine's blocks are of two generations, numbered 0 and 1 by turns; a block may be in both.
 */
export interface BlockTable {
    /** The block's row, if any engine holds it. Rows are used again: valid until the next change. */
    find(low: number, high: number): number;
    /** The engines, 32 in a word, that hold the row's block. */
    holders(row: number, word: number): number;
    /** Enters the block into a generation of the engine. The row if it was not in it; none if it was or no room. */
    enter(slot: EngineSlot, generation: number, low: number, high: number): number;
    /** Takes the row's block out of a generation of the engine. */
    leave(slot: EngineSlot, generation: number, row: number): void;
    /** Takes the engine's entry out of both generations. */
    drop(slot: EngineSlot, low: number, high: number): void;
    size(): number;
}

/** Places within a row. */
const lowPlace = 0;
const highPlace = 1;
const nextPlace = 2;
const holdersPlace = 4;
const rowLength = 16;

/** Creates an empty table for at most `maximumRows` blocks. */
export function createBlockTable(maximumRows: number): BlockTable {
    const bucketCount = 2 ** Math.ceil(Math.log2(maximumRows));
    const buckets = new Int32Array(bucketCount).fill(noRow);
    const data = new Int32Array(maximumRows * rowLength);
    const freeRows: number[] = [];
    let usedRows = 0;

    const find = (low: number, high: number) => {
        let row = buckets[low & bucketCount - 1]!;
        while (row !== noRow && (data[row * rowLength]! !== low || data[row * rowLength + highPlace]! !== high)) {
            row = data[row * rowLength + nextPlace]!;
        }
        return row;
    };

    const takeRow = (low: number, high: number) => {
        const row = freeRows.pop() ?? usedRows;
        if (row >= maximumRows) {
            return noRow;
        }
        usedRows = Math.max(usedRows, row + 1);
        const bucket = low & bucketCount - 1;
        data[row * rowLength + lowPlace] = low;
        data[row * rowLength + highPlace] = high;
        data[row * rowLength + nextPlace] = buckets[bucket]!;
        buckets[bucket] = row;
        return row;
    };

    const isHeld = (row: number) => {
        for (let place = row * rowLength + holdersPlace; place < (row + 1) * rowLength; place++) {
            if (data[place]! !== 0) {
                return true;
            }
        }
        return false;
    };

    const freeRow = (row: number) => {
        const bucket = data[row * rowLength + lowPlace]! & bucketCount - 1;
        const next = data[row * rowLength + nextPlace]!;
        let before = buckets[bucket]!;
        if (before === row) {
            buckets[bucket] = next;
        }
        else {
            while (data[before * rowLength + nextPlace]! !== row) {
                before = data[before * rowLength + nextPlace]!;
            }
            data[before * rowLength + nextPlace] = next;
        }
        freeRows.push(row);
    };

    const wordOf = (row: number, slot: EngineSlot, generation: number) =>
        row * rowLength + holdersPlace + generation * wordsPerRow + (slot >>> 5);

    const enter = (slot: EngineSlot, generation: number, low: number, high: number) => {
        const found = find(low, high);
        const row = found === noRow ? takeRow(low, high) : found;
        if (row === noRow) {
            return noRow;
        }
        const place = wordOf(row, slot, generation);
        const bit = 1 << (slot & 31);
        if ((data[place]! & bit) !== 0) {
            return noRow;
        }
        data[place]! |= bit;
        return row;
    };

    const leave = (slot: EngineSlot, generation: number, row: number) => {
        const place = wordOf(row, slot, generation);
        const bit = 1 << (slot & 31);
        if ((data[place]! & bit) === 0) {
            return;
        }
        data[place]! ^= bit;
        if (!isHeld(row)) {
            freeRow(row);
        }
    };

    const drop = (slot: EngineSlot, low: number, high: number) => {
        const row = find(low, high);
        if (row !== noRow) {
            leave(slot, 0, row);
            leave(slot, 1, row);
        }
    };

    const holders = (row: number, word: number) =>
        data[row * rowLength + holdersPlace + word]! | data[row * rowLength + holdersPlace + wordsPerRow + word]!;

    return { find, holders, enter, leave, drop, size: () => usedRows - freeRows.length };
}

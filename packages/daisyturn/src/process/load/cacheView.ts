import type { CacheEvent, CacheEventPage } from "../../ports/engine.js";
import { type BlockKeys, hashBlocks } from "./blockKeys.js";
import { type BlockTable, type EngineSlot, noRow, noSlot } from "./blockTable.js";

/**
 * Estimated contents of one engine's prefix cache. It is only an estimate: blocks of this process's own placements are
 * added before the engine confirms them, and the engine's events arrive late and with gaps.
 */
export interface CacheView {
    /** Adds the blocks of a placement before the engine's events confirm them. */
    addExpected(keys: BlockKeys): void;
    /** Applies a page of events. A gap in the events or a new incarnation clears the view first. */
    apply(page: CacheEventPage): void;
    /** Clears the view if the engine has restarted. */
    applyIncarnation(incarnation: string): void;
    /** Removes all blocks after the first `matched` ones. */
    removeAfter(keys: BlockKeys, matched: number): void;
    clear(): void;
    /** Index of the engine in matches. */
    readonly slot: EngineSlot;
    /** Cursor for the next page of events; 0 before the first page. */
    cursor(): number;
}

/** Creates an empty view of one engine that adds at most `maxBlocks()` blocks to the table. */
export function createCacheView(slot: EngineSlot, table: BlockTable, maxBlocks: () => number): CacheView {
    // Two generations approximate a least-recently-used list: they cost less per decision and are bounded as well. A
    // row may have been reused for another block, which is then removed too early. That makes the estimate slightly
    // less accurate, but not inconsistent.
    const rows: [number[], number[]] = [[], []];
    let generation: 0 | 1 = 0;
    let incarnation: string | undefined;
    let cursor = 0;
    let lastSequence: number | undefined;

    /** Evicts the previous generation and starts a new one in its place. */
    const rotateGenerations = () => {
        generation = generation === 0 ? 1 : 0;
        rows[generation].forEach(row => table.removeRow(slot, generation, row));
        rows[generation] = [];
    };

    const addBlocks = (keys: BlockKeys) => {
        const limit = maxBlocks() / 2;
        for (let position = 0; position < keys.length; position += 2) {
            const row = table.addBlock(slot, generation, keys[position]!, keys[position + 1]!);
            if (row !== noRow) {
                rows[generation].push(row);
            }
            if (rows[generation].length >= limit) {
                rotateGenerations();
            }
        }
    };

    const removeBlocks = (keys: BlockKeys) => {
        for (let position = 0; position < keys.length; position += 2) {
            table.removeBlock(slot, keys[position]!, keys[position + 1]!);
        }
    };

    const clear = () => {
        rotateGenerations();
        rotateGenerations();
    };

    const applyIncarnation = (next: string) => {
        if (next === incarnation) {
            return;
        }
        if (incarnation !== undefined) {
            clear();
            cursor = 0;
        }
        incarnation = next;
        lastSequence = undefined;
    };

    const applyEvent = (event: CacheEvent) => {
        if (lastSequence !== undefined && event.sequence <= lastSequence) {
            return;
        }
        if (lastSequence !== undefined && event.sequence !== lastSequence + 1) {
            clear();
        }
        lastSequence = event.sequence;
        removeBlocks(hashBlocks(event.evicted));
        addBlocks(hashBlocks(event.stored));
    };

    const apply = (page: CacheEventPage) => {
        applyIncarnation(page.incarnation);
        page.events.forEach(applyEvent);
        cursor = page.cursor;
    };

    return {
        slot,
        addExpected: addBlocks,
        apply,
        applyIncarnation,
        removeAfter: (keys, matched) => removeBlocks(keys.subarray(2 * matched)),
        clear,
        cursor: () => cursor,
    };
}

/** Creates a view that stores nothing, for an engine without a slot. */
export function createEmptyCacheView(): CacheView {
    return {
        slot: noSlot,
        addExpected: () => undefined,
        apply: () => undefined,
        applyIncarnation: () => undefined,
        removeAfter: () => undefined,
        clear: () => undefined,
        cursor: () => 0,
    };
}

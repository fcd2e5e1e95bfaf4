import type { CacheEvent, CacheEventPage } from "../../ports/engine.js";
import { type BlockKeys, hashBlocks } from "./blockKeys.js";
import { type BlockTable, type EngineSlot, noRow, noSlot } from "./blockTable.js";

/**
 * What one engine's prefix cache is thought to hold. It is a guess: own placements are entered before the engine has
 * confirmed them, and the engine's events come late and with gaps.
 */
export interface CacheView {
    /** Enters a placement's blocks ahead of the engine's events. */
    addExpected(keys: BlockKeys): void;
    /** Takes in a page of events. A gap or a new incarnation empties the view first. */
    apply(page: CacheEventPage): void;
    /** Empties the view if the engine has been restarted. */
    applyIncarnation(incarnation: string): void;
    /** Takes back what was expected beyond the first `matched` blocks. */
    removeAfter(keys: BlockKeys, matched: number): void;
    clear(): void;
    /** Number of the engine in matches. */
    readonly slot: EngineSlot;
    /** Cursor for the next page; 0 before the first. */
    cursor(): number;
}

/** Creates the empty view of one engine that enters at most so many blocks into the table. */
export function createCacheView(slot: EngineSlot, table: BlockTable, maximumBlocks: () => number): CacheView {
    // Two generations stand in for a least-recently-used list: cheaper for each decision, and as bounded. A row that
    // was given to another block meanwhile may be left too early; that costs a little accuracy and no consistency.
    const rows: [number[], number[]] = [[], []];
    let generation: 0 | 1 = 0;
    let incarnation: string | undefined;
    let cursor = 0;
    let lastSequence: number | undefined;

    /** Forgets the generation before the present one, and begins a new one in its place. */
    const turnGeneration = () => {
        generation = generation === 0 ? 1 : 0;
        rows[generation].forEach(row => table.leave(slot, generation, row));
        rows[generation] = [];
    };

    const store = (keys: BlockKeys) => {
        const limit = maximumBlocks() / 2;
        for (let place = 0; place < keys.length; place += 2) {
            const row = table.enter(slot, generation, keys[place]!, keys[place + 1]!);
            if (row !== noRow) {
                rows[generation].push(row);
            }
            if (rows[generation].length >= limit) {
                turnGeneration();
            }
        }
    };

    const remove = (keys: BlockKeys) => {
        for (let place = 0; place < keys.length; place += 2) {
            table.drop(slot, keys[place]!, keys[place + 1]!);
        }
    };

    const clear = () => {
        turnGeneration();
        turnGeneration();
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

    const takeEvent = (event: CacheEvent) => {
        if (lastSequence !== undefined && event.sequence <= lastSequence) {
            return;
        }
        if (lastSequence !== undefined && event.sequence !== lastSequence + 1) {
            clear();
        }
        lastSequence = event.sequence;
        remove(hashBlocks(event.evicted));
        store(hashBlocks(event.stored));
    };

    const apply = (page: CacheEventPage) => {
        applyIncarnation(page.incarnation);
        page.events.forEach(takeEvent);
        cursor = page.cursor;
    };

    return {
        slot,
        addExpected: store,
        apply,
        applyIncarnation,
        removeAfter: (keys, matched) => remove(keys.subarray(2 * matched)),
        clear,
        cursor: () => cursor,
    };
}

/** Creates the view of an engine of which nothing is kept. */
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

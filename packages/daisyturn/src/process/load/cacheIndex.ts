import { type BlockKeys, hashBlocks } from "./blockKeys.js";
import {
    type BlockTable,
    createBlockTable,
    type EngineSlot,
    maximumSlots,
    noRow,
    noSlot,
    wordsPerRow,
} from "./blockTable.js";
import { type CacheView, createCacheView, createEmptyCacheView } from "./cacheView.js";

/**
 * Which engines are thought to hold which prompt blocks. One index over all engines, because a decision asks all of
 * them at once: a walk over the prompt's blocks answers for every engine.
 */
export interface CacheIndex {
    /** The view of one engine, made on first use. */
    view(engineId: string): CacheView;
    /** Frees the place of an engine that has left. */
    dropEngine(engineId: string): void;
    match(blocks: readonly string[]): CacheMatch;
    /** Blocks that some engine is thought to hold. */
    size(): number;
}

/** How much of a prompt the engines hold. */
export interface CacheMatch {
    /** Blocks from the first on that some engine is thought to hold. */
    readonly knownBlocks: number;
    /** Keys of all the prompt's blocks. */
    readonly keys: BlockKeys;
    /** Blocks from the first on that the engine is thought to hold. */
    countMatchedBlocks(view: CacheView): number;
}

/** Blocks kept over all engines; bounds the index to some 20 MB. */
const defaultMaximumBlocks = 131_072;
const leastBlocksPerEngine = 256;

/** Creates an empty index. Engines beyond the table's slots are taken to hold nothing. */
export function createCacheIndex(maximumBlocks = defaultMaximumBlocks): CacheIndex {
    const table = createBlockTable(maximumBlocks);
    const views = new Map<string, CacheView>();
    const freeSlots: EngineSlot[] = [...Array(maximumSlots).keys()].reverse();

    const maximumOfEngine = () => Math.max(leastBlocksPerEngine, Math.floor(maximumBlocks / Math.max(1, views.size)));

    const view = (engineId: string) => {
        const known = views.get(engineId);
        if (known) {
            return known;
        }
        const slot = freeSlots.pop();
        const created = slot === undefined ? createEmptyCacheView() : createCacheView(slot, table, maximumOfEngine);
        views.set(engineId, created);
        return created;
    };

    const dropEngine = (engineId: string) => {
        const dropped = views.get(engineId);
        if (dropped) {
            dropped.clear();
            views.delete(engineId);
            freeSlots.push(...[dropped.slot].filter(slot => slot !== noSlot));
        }
    };

    const match = (blocks: readonly string[]): CacheMatch => {
        const depths = new Uint16Array(maximumSlots + 1);
        const keys = hashBlocks(blocks);
        const knownBlocks = walk(keys, table, depths);
        depths[noSlot] = 0;
        return { knownBlocks, keys, countMatchedBlocks: view => depths[view.slot]! };
    };

    return { view, dropEngine, match, size: table.size };
}

/** Follows the chain of blocks, notes for each engine where it falls out, and counts the blocks anybody has. */
function walk(keys: BlockKeys, table: BlockTable, depths: Uint16Array): number {
    const alive = new Int32Array(wordsPerRow).fill(-1);
    const blocks = keys.length / 2;
    let anyAlive = true;
    let depth = 0;
    for (; depth < blocks; depth++) {
        const row = table.find(keys[2 * depth]!, keys[2 * depth + 1]!);
        if (row === noRow) {
            break;
        }
        anyAlive = anyAlive && keepHolders(table, row, alive, depths, depth);
    }
    if (anyAlive) {
        keepHolders(table, noRow, alive, depths, depth);
    }
    return depth;
}

/** Takes out of `alive` those that don't hold the row's block, and notes their depth; tells whether any is left. */
function keepHolders(
    table: BlockTable,
    row: number,
    alive: Int32Array,
    depths: Uint16Array,
    depth: number,
): boolean {
    let left = 0;
    for (let word = 0; word < wordsPerRow; word++) {
        const holding = row === noRow ? 0 : table.holders(row, word);
        let fallen = alive[word]! & ~holding;
        alive[word]! &= holding;
        left |= alive[word]!;
        while (fallen !== 0) {
            const bit = 31 - Math.clz32(fallen);
            depths[word * 32 + bit] = depth;
            fallen ^= 1 << bit;
        }
    }
    return left !== 0;
}

import { type BlockKeys, hashBlocks } from "./blockKeys.js";
import {
    type BlockTable,
    createBlockTable,
    type EngineSlot,
    maxSlots,
    noRow,
    noSlot,
    wordsPerRow,
} from "./blockTable.js";
import { type CacheView, createCacheView, createEmptyCacheView } from "./cacheView.js";

/**
 * Index of the prompt blocks that each engine is presumed to cache. One index covers all engines, because a routing
 * decision compares all of them: one pass over the prompt's blocks gives the matches of every engine.
 */
export interface CacheIndex {
    /** The view of one engine, created on first use. */
    view(engineId: string): CacheView;
    /** Removes an engine that has left and frees its slot. */
    removeEngine(engineId: string): void;
    match(blocks: readonly string[]): CacheMatch;
    /** Number of blocks that at least one engine is presumed to cache. */
    size(): number;
}

/** How much of a prompt the engines are presumed to cache. */
export interface CacheMatch {
    /** Length, in blocks, of the prompt's longest prefix whose blocks are each cached by some engine. */
    readonly knownBlocks: number;
    /** Keys of all the prompt's blocks. */
    readonly keys: BlockKeys;
    /** Length, in blocks, of the prompt's longest prefix that the engine caches. */
    countMatchedBlocks(view: CacheView): number;
}

/** Limit of blocks over all engines, which bounds the index to about 20 MB. */
const defaultMaxBlocks = 131_072;
const minBlocksPerEngine = 256;

/** Creates an empty index. Engines for which the table has no slot are presumed to cache nothing. */
export function createCacheIndex(maxBlocks = defaultMaxBlocks): CacheIndex {
    const table = createBlockTable(maxBlocks);
    const views = new Map<string, CacheView>();
    const freeSlots: EngineSlot[] = [...Array(maxSlots).keys()].reverse();

    const computeBlockLimit = () => Math.max(minBlocksPerEngine, Math.floor(maxBlocks / Math.max(1, views.size)));

    const view = (engineId: string) => {
        const existing = views.get(engineId);
        if (existing) {
            return existing;
        }
        const slot = freeSlots.pop();
        const created = slot === undefined ? createEmptyCacheView() : createCacheView(slot, table, computeBlockLimit);
        views.set(engineId, created);
        return created;
    };

    const removeEngine = (engineId: string) => {
        const removed = views.get(engineId);
        if (removed) {
            removed.clear();
            views.delete(engineId);
            freeSlots.push(...[removed.slot].filter(slot => slot !== noSlot));
        }
    };

    const match = (blocks: readonly string[]): CacheMatch => {
        const depths = new Uint16Array(maxSlots + 1);
        const keys = hashBlocks(blocks);
        const knownBlocks = matchPrefix(keys, table, depths);
        depths[noSlot] = 0;
        return { knownBlocks, keys, countMatchedBlocks: view => depths[view.slot]! };
    };

    return { view, removeEngine, match, size: table.size };
}

/** Writes to `depths` the length of the prefix that each engine caches. Returns the length that some engine caches. */
function matchPrefix(keys: BlockKeys, table: BlockTable, depths: Uint16Array): number {
    const candidates = new Int32Array(wordsPerRow).fill(-1);
    const blocks = keys.length / 2;
    let anyCandidate = true;
    let depth = 0;
    for (; depth < blocks; depth++) {
        const row = table.find(keys[2 * depth]!, keys[2 * depth + 1]!);
        if (row === noRow) {
            break;
        }
        anyCandidate = anyCandidate && removeCandidatesWithout(table, row, candidates, depths, depth);
    }
    if (anyCandidate) {
        removeCandidatesWithout(table, noRow, candidates, depths, depth);
    }
    return depth;
}

/** Removes engines without the row's block from `candidates` and records their depth. Returns whether any remain. */
function removeCandidatesWithout(
    table: BlockTable,
    row: number,
    candidates: Int32Array,
    depths: Uint16Array,
    depth: number,
): boolean {
    let remaining = 0;
    for (let word = 0; word < wordsPerRow; word++) {
        const mask = row === noRow ? 0 : table.engineMask(row, word);
        let excluded = candidates[word]! & ~mask;
        candidates[word]! &= mask;
        remaining |= candidates[word]!;
        while (excluded !== 0) {
            const bit = 31 - Math.clz32(excluded);
            depths[word * 32 + bit] = depth;
            excluded ^= 1 << bit;
        }
    }
    return remaining !== 0;
}

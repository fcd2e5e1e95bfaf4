/** What a store of blocks changed. */
export interface CacheChange {
    readonly stored: readonly string[];
    readonly evicted: readonly string[];
}

/** Blocks of prompts whose KV cache an engine keeps, the least recently used evicted first. */
export interface PrefixCache {
    /** Leading blocks that are held; they count as used. */
    match(blocks: readonly string[]): number;
    store(blocks: readonly string[]): CacheChange;
    readonly size: number;
}

/** Creates an empty cache of at most `capacity` blocks. */
export function createPrefixCache(capacity: number): PrefixCache {
    // A Set remembers the order of insertion: the first is the least recently used.
    const held = new Set<string>();

    const touch = (block: string) => {
        held.delete(block);
        held.add(block);
    };

    const match = (blocks: readonly string[]) => {
        const firstAbsent = blocks.findIndex(block => !held.has(block));
        const matched = firstAbsent === -1 ? blocks.length : firstAbsent;
        // From the last to the first, so that a prefix's end is evicted before its beginning.
        blocks.slice(0, matched).reverse().forEach(touch);
        return matched;
    };

    const store = (blocks: readonly string[]): CacheChange => {
        const kept = blocks.slice(0, capacity);
        const stored = kept.filter(block => !held.has(block));
        [...kept].reverse().forEach(touch);
        const evicted = [...held].slice(0, Math.max(0, held.size - capacity));
        evicted.forEach(block => held.delete(block));
        return { stored, evicted };
    };

    return {
        match,
        store,
        get size() {
            return held.size;
        },
    };
}

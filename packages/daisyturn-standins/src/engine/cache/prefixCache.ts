/** Blocks that were added and evicted by a call of `store`. */
export interface CacheChange {
    readonly stored: readonly string[];
    readonly evicted: readonly string[];
}

/** LRU cache of the prompt blocks whose KV cache an engine stores. */
export interface PrefixCache {
    /** Returns the number of leading blocks that are cached, and marks them as used. */
    match(blocks: readonly string[]): number;
    store(blocks: readonly string[]): CacheChange;
    readonly size: number;
}

/** Creates an empty cache of at most `capacity` blocks. */
export function createPrefixCache(capacity: number): PrefixCache {
    // A Set iterates in insertion order, so the first block is the least recently used.
    const cached = new Set<string>();

    const touch = (block: string) => {
        cached.delete(block);
        cached.add(block);
    };

    const match = (blocks: readonly string[]) => {
        const firstAbsent = blocks.findIndex(block => !cached.has(block));
        const matched = firstAbsent === -1 ? blocks.length : firstAbsent;
        // Touched from last to first, so that the end of a prefix is evicted before its beginning.
        blocks.slice(0, matched).reverse().forEach(touch);
        return matched;
    };

    const store = (blocks: readonly string[]): CacheChange => {
        const retained = blocks.slice(0, capacity);
        const stored = retained.filter(block => !cached.has(block));
        [...retained].reverse().forEach(touch);
        const evicted = [...cached].slice(0, Math.max(0, cached.size - capacity));
        evicted.forEach(block => cached.delete(block));
        return { stored, evicted };
    };

    return {
        match,
        store,
        get size() {
            return cached.size;
        },
    };
}

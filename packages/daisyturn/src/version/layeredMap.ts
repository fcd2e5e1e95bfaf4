/** An immutable map. Maps derived from it share most of its memory. */
export interface LayeredMap<Value> {
    readonly size: number;
    get(key: string): Value | undefined;
    values(): IterableIterator<Value>;
    /** Returns a map with the edits applied. An edit to `undefined` removes the key. */
    withEdits(edits: ReadonlyMap<string, Value | undefined>): LayeredMap<Value>;
}

/** Lower bound of the number of edits above which the base is copied, for small bases. */
const minFoldThreshold = 32;

/**
 * Creates a map of two layers: a large base that derived maps share, and the edits since, which each change copies.
 * The edits are folded into a new base when their number exceeds the square root of its size. A change of one key thus
 * costs about the square root of the size, for copying the edits and for the amortized cost of folding. A hash trie
 * would make changes cheaper but lookups more expensive, and every request does lookups.
 */
export function createLayeredMap<Value>(base: ReadonlyMap<string, Value>): LayeredMap<Value> {
    return createLayers(base, new Map(), base.size);
}

function createLayers<Value>(
    base: ReadonlyMap<string, Value>,
    edits: ReadonlyMap<string, Value | undefined>,
    size: number,
): LayeredMap<Value> {
    const get = (key: string) => edits.has(key) ? edits.get(key) : base.get(key);

    function* values(): IterableIterator<Value> {
        for (const [key, value] of base) {
            if (!edits.has(key)) {
                yield value;
            }
        }
        for (const value of edits.values()) {
            if (value !== undefined) {
                yield value;
            }
        }
    }

    const withEdits = (more: ReadonlyMap<string, Value | undefined>) => {
        const merged = new Map(edits);
        let nextSize = size;
        for (const [key, value] of more) {
            nextSize += Number(value !== undefined) - Number(get(key) !== undefined);
            merged.set(key, value);
        }
        return merged.size > Math.max(minFoldThreshold, Math.sqrt(base.size))
            ? createLayeredMap(fold(base, merged))
            : createLayers(base, merged, nextSize);
    };

    return { size, get, values, withEdits };
}

function fold<Value>(
    base: ReadonlyMap<string, Value>,
    edits: ReadonlyMap<string, Value | undefined>,
): ReadonlyMap<string, Value> {
    const folded = new Map(base);
    for (const [key, value] of edits) {
        if (value === undefined) {
            folded.delete(key);
        }
        else {
            folded.set(key, value);
        }
    }
    return folded;
}

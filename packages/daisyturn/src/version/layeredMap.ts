/** An immutable map whose successors share most of their memory with it. */
export interface LayeredMap<Value> {
    readonly size: number;
    get(key: string): Value | undefined;
    values(): IterableIterator<Value>;
    /** A map with the edits made; an edit of `undefined` removes the key. */
    withEdits(edits: ReadonlyMap<string, Value | undefined>): LayeredMap<Value>;
}

/** Below this many edits a successor never copies the base, however small that is. */
const minFoldThreshold = 32;

/**
 * Creates a map of two layers: a large base that successors share, and the edits since, copied on each change.
 * The edits are folded into a new base once they outnumber the square root of its size. So a change of one key
 * costs about the square root of the size, both for the copy of the edits and for the fold shared out over them;
 * a hash trie would cost less per change and more per lookup, and every request looks up.
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

import { createByteCollector } from "./createByteCollector.js";

/** Joins the chunks that a parser finds in the bytes of one read. */
export interface ChunkBatch {
    add(chunk: Buffer): void;
    /** Returns the chunks since the last call as one; undefined if there are none. */
    take(): Buffer | undefined;
}

/** Creates a batch. A consumer takes microseconds for each chunk, and a read may hold one chunk for each of its bytes. */
export function createChunkBatch(): ChunkBatch {
    const collector = createByteCollector({ maxBytes: Infinity });
    let only: Buffer | undefined;
    return {
        add: chunk => {
            if (only === undefined && collector.byteCount() === 0) {
                only = chunk;
                return;
            }
            if (only) {
                collector.add(only);
                only = undefined;
            }
            collector.add(chunk);
        },
        take: () => {
            const chunk = only ?? (collector.byteCount() > 0 ? collector.join() : undefined);
            only = undefined;
            collector.clear();
            return chunk;
        },
    };
}

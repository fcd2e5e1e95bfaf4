import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type ByteCollectorOptions, CollectFault, createByteCollector } from "../createByteCollector.js";

const pieceCount = 1_000_000;
/** Four for the bytes; the rest is for garbage that has not been collected yet. A piece of its own takes about 100. */
const maxBytesPerPiece = 40;

function collect(pieces: readonly string[], options: Partial<ByteCollectorOptions> = {}) {
    const collector = createByteCollector({ maxBytes: 1_000_000, ...options });
    const faults = pieces.map(piece => collector.add(Buffer.from(piece)));
    return { collector, faults };
}

describe("a byte collector", () => {
    it("returns the bytes in their order, whatever the sizes of the pieces", () => {
        const pieces = [0, 1, 3, 900, 1_024, 1_025, 40_000, 5, 32_768, 70_000, 1, 2_000].map((size, index) =>
            String.fromCharCode(97 + index).repeat(size)
        );
        const { collector } = collect(pieces);
        assert.equal(collector.byteCount(), pieces.join("").length);
        assert.equal(collector.join().toString(), pieces.join(""));
        collector.add(Buffer.from("more"));
        assert.equal(collector.join().toString(), `${pieces.join("")}more`);
    });

    // Guards against an end of the process by pieces of a few bytes, each of which was held as an object of its own.
    it("holds pieces of four bytes in little more memory than their bytes", () => {
        const collector = createByteCollector({ maxBytes: 4 * pieceCount });
        const source = Buffer.alloc(64 * 1024);
        const before = process.memoryUsage();
        for (let index = 0; index < pieceCount; index++) {
            collector.add(source.subarray(0, 4));
        }
        const after = process.memoryUsage();
        const grown = after.heapUsed + after.external - before.heapUsed - before.external;
        assert.ok(grown < maxBytesPerPiece * pieceCount, `${grown} bytes for ${collector.byteCount()}`);
        assert.equal(collector.join().length, 4 * pieceCount);
    });

    it("takes no piece beyond its limit or beyond the memory of the process, and keeps what it has", () => {
        const long = collect(["abc", "def", "g"], { maxBytes: 4 });
        assert.deepEqual(long.faults, [undefined, CollectFault.TooLong, undefined]);
        assert.equal(long.collector.join().toString(), "abcg");
        const refused = collect(["abc", "d"], { reserve: byteCount => byteCount > 1 });
        assert.deepEqual(refused.faults, [undefined, CollectFault.NoMemory]);
        assert.equal(refused.collector.join().toString(), "abc");
    });

    it("returns its reservation once", () => {
        let reserved = 0;
        const { collector } = collect(["abc", "de"], {
            reserve: byteCount => (reserved += byteCount) > 0,
            release: byteCount => {
                reserved -= byteCount;
            },
        });
        assert.equal(reserved, 5);
        collector.clear();
        collector.clear();
        assert.equal(reserved, 0);
        assert.equal(collector.join().length, 0);
    });
});

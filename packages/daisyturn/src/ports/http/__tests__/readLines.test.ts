import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { LineTooLongError, readLines } from "../readLines.js";

async function collectLines(chunks: readonly Buffer[], maxBytes: number): Promise<string[]> {
    const lines: string[] = [];
    async function* yieldChunks() {
        yield* chunks;
    }
    for await (const line of readLines(yieldChunks(), maxBytes)) {
        lines.push(line);
    }
    return lines;
}

/** Returns the bytes of the heap and of buffers that are still referenced. */
function measureHeldBytes(): number {
    setFlagsFromString("--expose-gc");
    const collectGarbage = runInNewContext("gc") as () => void;
    collectGarbage();
    const { heapUsed, external } = process.memoryUsage();
    return heapUsed + external;
}

describe("readLines", () => {
    it("yields the same lines however the bytes are split into chunks", async () => {
        const line = fc.string({ unit: "grapheme", maxLength: 8 }).map(text => text.replaceAll("\n", ""));
        const cuts = fc.array(fc.integer({ min: 0, max: 60 }), { maxLength: 8 });
        await fc.assert(fc.asyncProperty(fc.array(line, { maxLength: 6 }), cuts, line, async (lines, at, rest) => {
            const bytes = Buffer.from(lines.map(text => `${text}\n`).join("") + rest);
            const ends = [...at, bytes.length].sort((left, right) => left - right);
            const chunks = ends.map((end, index) => bytes.subarray(ends[index - 1] ?? 0, end));
            assert.deepEqual(await collectLines(chunks, 1_000), lines);
        }));
    });

    it("rejects a line over the limit, in one chunk or several, before its end arrives", async () => {
        assert.deepEqual(await collectLines([Buffer.from("12345\n")], 5), ["12345"]);
        await assert.rejects(collectLines([Buffer.from("123456\n")], 5), LineTooLongError);
        await assert.rejects(collectLines([Buffer.from("1234"), Buffer.from("56")], 5), LineTooLongError);
    });

    // Guards against an end of the process by a line in pieces of a byte, each of which was held as an object of its own.
    it("holds a line in pieces of a byte in little more memory than its bytes", async () => {
        const pieceCount = 1_000_000;
        const source = Buffer.alloc(64 * 1024, "x");
        const before = measureHeldBytes();
        let grown = 0;
        async function* yieldPieces() {
            for (let index = 0; index < pieceCount; index++) {
                yield source.subarray(0, 1);
            }
            grown = measureHeldBytes() - before;
        }
        for await (const line of readLines(yieldPieces(), pieceCount)) {
            assert.fail(`a line of ${line.length} characters`);
        }
        assert.ok(grown < 40 * pieceCount, `${grown} bytes`);
    });
});

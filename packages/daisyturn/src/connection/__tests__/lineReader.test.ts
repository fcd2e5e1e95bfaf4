import fastCheck from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createLineReader, LineFault } from "../lineReader.js";

const maxBytes = 16;

/** Any text without line feeds. */
const line = fastCheck.string({ unit: "grapheme", maxLength: 12 }).map(text => text.replaceAll("\n", ""));

/** Reads bytes in chunks of the given sizes, over and over. */
function readInChunks(bytes: Uint8Array, sizes: readonly number[]) {
    const reader = createLineReader(maxBytes);
    const lines: string[] = [];
    for (let start = 0, turn = 0; start < bytes.length; turn++) {
        const size = sizes[turn % sizes.length] ?? 1;
        const result = reader.push(bytes.subarray(start, start + size));
        if (result.isErr) {
            return { lines, fault: result.error };
        }
        lines.push(...result.value);
        start += size;
    }
    return { lines, fault: undefined };
}

describe("createLineReader", () => {
    it("returns the same lines however the bytes are split, up to the first line that is too long", () => {
        const sizes = fastCheck.array(fastCheck.integer({ min: 1, max: 20 }), { minLength: 1 });
        fastCheck.assert(fastCheck.property(fastCheck.array(line), sizes, (lines, chunkSizes) => {
            const firstLong = lines.findIndex(text => Buffer.byteLength(text) > maxBytes);
            const read = readInChunks(Buffer.from(lines.map(text => `${text}\n`).join("")), chunkSizes);
            assert.equal(read.fault, firstLong < 0 ? undefined : LineFault.TooLong);
            const expected = firstLong < 0 ? lines : lines.slice(0, firstLong);
            assert.deepEqual(read.lines, expected.slice(0, read.lines.length));
            assert.ok(read.fault !== undefined || read.lines.length === lines.length);
        }));
    });

    it("never throws for any bytes, and fails on invalid UTF-8", () => {
        fastCheck.assert(fastCheck.property(fastCheck.uint8Array(), bytes => {
            const { lines, fault } = readInChunks(bytes, [3]);
            assert.ok(fault !== undefined || lines.every(text => !text.includes("\n")));
        }));
        assert.equal(readInChunks(Buffer.from([0xff, 0x0a]), [2]).fault, LineFault.NotUtf8);
    });

    it("does not buffer more than the limit of a line without a line feed", () => {
        const reader = createLineReader(maxBytes);
        assert.ok(reader.push(Buffer.alloc(maxBytes, "a")).isOk);
        assert.ok(reader.push(Buffer.from("a")).isErr);
    });
});

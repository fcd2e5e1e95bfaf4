import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import type { IncomingMessage } from "node:http";
import { describe, it } from "node:test";
import { readBytes } from "../../caller/readBody.js";
import { createLineReader } from "../../lineReader.js";
import { measureHeld } from "../__fixtures__/measureHeld.js";

const pieceCount = 1_000_000;
/** One for the byte, one for what a block has not filled yet. A piece of its own takes about 100. */
const maxBytesPerPiece = 4;
const block = Buffer.alloc(64 * 1024, "a");

function forEachPiece(add: (piece: Buffer) => void): void {
    for (let index = 0; index < pieceCount; index++) {
        const start = index % block.length;
        add(block.subarray(start, start + 1));
    }
}

// Each guards against an end of the process by a sender whose bytes arrive one by one.
describe("pieces of one byte", () => {
    it("take little more memory than their bytes in a caller's body", async () => {
        const incoming = Object.assign(new EventEmitter(), { headers: {} });
        const read = readBytes(incoming as IncomingMessage, {
            maxBytes: pieceCount,
            milliseconds: 60_000,
            reserve: () => true,
            sendContinue: () => undefined,
        });
        const held = measureHeld(() => forEachPiece(piece => incoming.emit("data", piece)));
        incoming.emit("end");
        assert.equal((await read).map(body => body.length).unwrapOr(0), pieceCount);
        assert.ok(held < maxBytesPerPiece * pieceCount, `${held} bytes`);
    });

    it("take little more memory than their bytes in a line of a peer", () => {
        const reader = createLineReader(pieceCount);
        const held = measureHeld(() => forEachPiece(piece => assert.ok(reader.push(piece).isOk)));
        assert.equal(reader.push(Buffer.from("\n")).unwrapOr([])[0]?.length, pieceCount);
        assert.ok(held < maxBytesPerPiece * pieceCount, `${held} bytes`);
    });
});

import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";
import { test } from "node:test";
import { createCallerConnection } from "../../caller/callerConnection.js";
import { createForwardExchange } from "../forwardExchange.js";

/** Creates an exchange whose chunks are written at the given times, in milliseconds. */
function writeAt(times: readonly number[]) {
    let now = 0;
    const outgoing = Object.assign(new EventEmitter(), {
        writableLength: 0,
        writeHead: () => undefined,
        write: () => true,
    }) as unknown as ServerResponse;
    const connection = createCallerConnection(new EventEmitter() as unknown as Duplex);
    const exchange = createForwardExchange({} as IncomingMessage, outgoing, connection, () => undefined, () => now);
    exchange.begin(200, []);
    for (const time of times) {
        now = time;
        exchange.write(Buffer.from("x"));
    }
    return exchange;
}

test("measures pauses between the chunks of an answer, not before the first chunk", () => {
    const exchange = writeAt([500, 540, 760, 800]);
    assert.equal(exchange.longestPause(), 220);
    assert.equal(exchange.meanPause(), 100);
});

test("reports no pause for an answer of one chunk, however late it began", () => {
    const exchange = writeAt([5_000]);
    assert.equal(exchange.longestPause(), 0);
    assert.equal(exchange.meanPause(), undefined);
});

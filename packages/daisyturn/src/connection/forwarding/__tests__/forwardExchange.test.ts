import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import type { ServerResponse } from "node:http";
import { test } from "node:test";
import type { CallerConnection } from "../../caller/createCallerListener.js";
import { createForwardExchange } from "../forwardExchange.js";

/** An answer whose pieces are written at the given times, in milliseconds. */
function writeAt(times: readonly number[]) {
    let now = 0;
    const outgoing = Object.assign(new EventEmitter(), {
        writableLength: 0,
        writeHead: () => undefined,
        write: () => true,
    }) as unknown as ServerResponse;
    const connection = { closeListeners: new Set() } as unknown as CallerConnection;
    const exchange = createForwardExchange(outgoing, connection, () => false, () => now);
    exchange.begin(200, []);
    for (const time of times) {
        now = time;
        exchange.write(Buffer.from("x"));
    }
    return exchange;
}

test("the longest pause of an answer lies between two of its pieces", () => {
    const exchange = writeAt([500, 540, 760, 800]);
    assert.equal(exchange.longestPause(), 220);
    assert.equal(exchange.meanPause(), 100);
});

test("an answer of one piece has no pause, however late it began", () => {
    const exchange = writeAt([5_000]);
    assert.equal(exchange.longestPause(), 0);
    assert.equal(exchange.meanPause(), undefined);
});

import { createSeededRandom } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { ForwardExchange } from "../../../connection/forwarding/forwardExchange.js";
import { createEventRelay } from "../eventRelay.js";
import { createDispatchGate } from "../sending/dispatchGate.js";

function createRecorder() {
    const written: string[] = [];
    let begun = 0;
    let ended = 0;
    const exchange: ForwardExchange = {
        signal: new AbortController().signal,
        closed: Promise.resolve(),
        closedAt: () => undefined,
        stop: () => undefined,
        cancel: () => undefined,
        gate: createDispatchGate(),
        firstByteAt: () => undefined,
        longestPause: () => 0,
        meanPause: () => undefined,
        isHeadSent: () => begun > 0,
        answer: () => undefined,
        begin: () => {
            begun += 1;
        },
        write: chunk => void written.push(chunk.toString()),
        end: () => {
            ended += 1;
        },
        abort: () => undefined,
    };
    return { exchange, written, counts: () => ({ begun, ended }) };
}

const maxEventBytes = 1024 * 1024;
const event = (id: number) => `id: ${id}\ndata: text ${id}\n\n`;

test("only complete events are relayed, however the stream is split into chunks", () => {
    const random = createSeededRandom(5);
    for (let round = 0; round < 200; round++) {
        const text = [1, 2, 3, 4].map(event).join("");
        const { exchange, written, counts } = createRecorder();
        const relay = createEventRelay(exchange, () => undefined);
        for (let at = 0; at < text.length;) {
            const next = Math.min(text.length, at + 1 + random.integerBelow(12));
            relay.write(200, [], Buffer.from(text.slice(at, next)));
            at = next;
            assert.ok(written.every(piece => piece.endsWith("\n\n")));
        }
        relay.end(200, []);
        assert.equal(written.join(""), text);
        assert.equal(relay.lastEventId(), "4");
        assert.deepEqual(counts(), { begun: 1, ended: 1 });
    }
});

test("the incomplete event of a broken stream is discarded before another target continues", () => {
    const { exchange, written } = createRecorder();
    const relay = createEventRelay(exchange, () => undefined);
    relay.write(200, [], Buffer.from(`${event(1)}id: 2\nda`));
    assert.equal(relay.lastEventId(), "1");
    relay.discardPartialEvent();
    relay.write(200, [], Buffer.from(event(2)));
    assert.equal(written.join(""), event(1) + event(2));
});

test("the head is sent with the first complete event or at the end, not earlier", () => {
    const { exchange, counts } = createRecorder();
    const relay = createEventRelay(exchange, () => undefined);
    relay.write(200, [], Buffer.from("id: 1"));
    assert.equal(relay.hasStarted(), false);
    relay.end(200, []);
    assert.deepEqual(counts(), { begun: 1, ended: 1 });
});

test("the last identifier is read from the start of a line, whatever follows or resembles it", () => {
    const lastEventIdOf = (text: string) => {
        const relay = createEventRelay(createRecorder().exchange, () => undefined);
        relay.write(200, [], Buffer.from(`${text}\n\n`));
        return relay.lastEventId();
    };
    assert.equal(lastEventIdOf("id: 7\ndata: id: 8 and bid:9"), "7");
    assert.equal(lastEventIdOf("id:6\r\ndata: x\r\n\r\nid: 7 \r\ndata: id:"), "7");
    assert.equal(lastEventIdOf("data: x\nid:"), "");
    assert.equal(lastEventIdOf("data: id: 8"), undefined);
});

// Guards against an event in pieces of a few bytes, whose cost grew with the square of their number.
test("takes an event without end in pieces of four bytes within a second", () => {
    const relay = createEventRelay(createRecorder().exchange, () => undefined);
    const piece = Buffer.from("xxxx");
    const startedAt = performance.now();
    for (let bytes = 0; bytes < maxEventBytes; bytes += piece.length) {
        relay.write(200, [], piece);
    }
    const milliseconds = performance.now() - startedAt;
    assert.equal(relay.heldBytes(), maxEventBytes);
    assert.ok(milliseconds < 1_000, `${milliseconds} ms`);
});

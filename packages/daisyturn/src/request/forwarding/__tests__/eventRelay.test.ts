import { createSeededRandom } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { ForwardExchange } from "../../../connection/forwarding/forwardExchange.js";
import { createEventRelay } from "../eventRelay.js";

function createRecorder() {
    const written: string[] = [];
    let begun = 0;
    let ended = 0;
    const exchange: ForwardExchange = {
        signal: new AbortController().signal,
        closed: Promise.resolve(),
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

const event = (id: number) => `id: ${id}\ndata: text ${id}\n\n`;

test("only whole events are passed on, whatever the pieces", () => {
    const random = createSeededRandom(5);
    for (let round = 0; round < 200; round++) {
        const text = [1, 2, 3, 4].map(event).join("");
        const { exchange, written, counts } = createRecorder();
        const relay = createEventRelay(exchange);
        for (let at = 0; at < text.length;) {
            const next = Math.min(text.length, at + 1 + random.integerBelow(12));
            relay.take(200, [], Buffer.from(text.slice(at, next)));
            at = next;
            assert.ok(written.every(piece => piece.endsWith("\n\n")));
        }
        relay.end(200, []);
        assert.equal(written.join(""), text);
        assert.equal(relay.lastEventId(), "4");
        assert.deepEqual(counts(), { begun: 1, ended: 1 });
    }
});

test("the beginning of an event that a broken stream leaves is dropped before another goes on", () => {
    const { exchange, written } = createRecorder();
    const relay = createEventRelay(exchange);
    relay.take(200, [], Buffer.from(`${event(1)}id: 2\nda`));
    assert.equal(relay.lastEventId(), "1");
    relay.dropPartialEvent();
    relay.take(200, [], Buffer.from(event(2)));
    assert.equal(written.join(""), event(1) + event(2));
});

test("the head is sent only with the first event, or with the end", () => {
    const { exchange, counts } = createRecorder();
    const relay = createEventRelay(exchange);
    relay.take(200, [], Buffer.from("id: 1"));
    assert.equal(relay.hasBegun(), false);
    relay.end(200, []);
    assert.deepEqual(counts(), { begun: 1, ended: 1 });
});

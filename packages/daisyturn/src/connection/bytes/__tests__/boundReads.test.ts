import assert from "node:assert/strict";
import { once } from "node:events";
import { Duplex } from "node:stream";
import { test } from "node:test";
import { setImmediate as nextTurn, setTimeout as sleep } from "node:timers/promises";
import { ByteSource } from "../../../process/forwarding/index.js";
import { boundReads } from "../boundReads.js";
import { createReadTurns } from "../createReadTurns.js";

const nothing = null; // eslint-disable-line no-restricted-syntax
const endOfStream = nothing;
const megabyte = 1024 * 1024;

/** Turns whose reads take a time that the test states, in a process that is idle otherwise. */
function createTestTurns() {
    const time = { now: 0 };
    return {
        time,
        turns: createReadTurns({ now: () => time.now, used: () => time.now, idle: () => performance.now() }),
    };
}

/** A connection that has always more bytes, and whose reads take some milliseconds each. */
function joinGreedy(
    { time, turns }: ReturnType<typeof createTestTurns>,
    milliseconds: number,
    log: string[],
    name = "",
) {
    const read = () => {
        while (turn.begin() > 0) {
            log.push(name);
            time.now += milliseconds;
            turn.end(1);
        }
    };
    const turn = turns.join(ByteSource.Target, read);
    return { read, turn };
}

function createStream(): Duplex {
    return new Duplex({ read: () => undefined, write: (bytes, encoding, done) => done() });
}

// Guards against a connection that keeps all others of its process waiting.
test("ends the turn of a connection that has always more bytes, and serves others in the order in which they came", async () => {
    const bench = createTestTurns();
    const log: string[] = [];
    const connections = ["a", "b", "c"].map(name => joinGreedy(bench, 5, log, name));
    connections.forEach(({ read }) => read());
    assert.equal(log.join(""), "aa", "ten milliseconds");
    for (let count = 0; count < 4; count++) {
        await nextTurn();
    }
    assert.equal(log.join("").slice(0, 8), "aaaabbcc");
    connections.forEach(({ turn }) => turn.leave());
});

// Guards against calls that are refused because one target's answer takes all time of the process.
test("leaves a connection that has used its credit a part of the time, and renews the credit with the next answer", async () => {
    const bench = createTestTurns();
    const log: string[] = [];
    const { read, turn } = joinGreedy(bench, 25, log);
    read();
    while (bench.turns.counts(ByteSource.Target).throttled === 0) {
        await nextTurn();
        read();
    }
    assert.equal(log.length, 3, "the credit is 50 ms");
    const startedAt = performance.now();
    await sleep(30);
    const pauses = (performance.now() - startedAt) / 50;
    assert.ok(
        log.length <= 3 + 1 + pauses,
        "each read is followed by a pause of twice its duration in an idle process",
    );
    turn.renew();
    const renewedAt = log.length;
    while (log.length < renewedAt + 2) {
        await sleep(5);
    }
    turn.leave();
});

// Guards against an answer without a length that ends before its last bytes were given.
test("emits the end of a stream after all its bytes, in their order, however long each read takes", async () => {
    const { time, turns } = createTestTurns();
    const stream = createStream();
    boundReads(stream, turns, ByteSource.Target);
    const bytes = Buffer.alloc(megabyte, "0123456789");
    const pieces: Buffer[] = [];
    stream.on("readable", () => {
        for (let piece = stream.read() as Buffer | null; piece; piece = stream.read() as Buffer | null) {
            time.now += 3;
            pieces.push(piece);
        }
    });
    const ended = once(stream, "end");
    for (let start = 0; start < bytes.length; start += 50_000) {
        stream.push(bytes.subarray(start, start + 50_000));
    }
    stream.push(endOfStream);
    // Reads without credit come by timers that keep no process running.
    const timer = setInterval(() => {
        time.now += 100;
    }, 1);
    await ended;
    clearInterval(timer);
    assert.ok(Buffer.concat(pieces).equals(bytes));
    assert.ok(turns.counts(ByteSource.Target).cut > 0);
});

test("reads nothing more of a stream whose observer refuses it, until it is resumed", async () => {
    const stream = createStream();
    let isRefused = true;
    const reads = boundReads(stream, createReadTurns(), ByteSource.Target, { beforeRead: () => !isRefused });
    const pieces: string[] = [];
    stream.on("readable", () => {
        for (let piece = stream.read() as Buffer | null; piece; piece = stream.read() as Buffer | null) {
            pieces.push(piece.toString());
        }
    });
    stream.push("abc");
    await sleep(5);
    assert.deepEqual(pieces, []);
    isRefused = false;
    reads.resume();
    assert.deepEqual(pieces, ["abc"]);
});

// Guards against an answer that ends with its connection and that no one hears the end of.
test("a stream whose last bytes were read ends, although no more may be read", async () => {
    const stream = createStream();
    let mayRead = true;
    boundReads(stream, createReadTurns(), ByteSource.Target, { beforeRead: () => mayRead });
    stream.on("readable", () => {
        while (stream.read()) {
            mayRead = false;
        }
    });
    const ended = once(stream, "end", { signal: AbortSignal.timeout(2_000) });
    stream.push("last bytes");
    stream.push(endOfStream);
    await ended;
});

// Guards against an exception of one connection that stops all others without credit.
test("connections without credit are read on after one of them has thrown", async () => {
    const { time, turns } = createTestTurns();
    const log: string[] = [];
    const spend = (turn: ReturnType<typeof turns.join>) => {
        turn.begin();
        time.now += 100;
        turn.end(1);
        turn.begin();
    };
    const thrown: unknown[] = [];
    process.setUncaughtExceptionCaptureCallback(error => void thrown.push(error));
    spend(turns.join(ByteSource.Target, () => {
        throw new Error("thrown by the test");
    }));
    await nextTurn();
    spend(turns.join(ByteSource.Target, () => log.push("other")));
    const deadline = performance.now() + 2_000;
    while (thrown.length + log.length < 2 && performance.now() < deadline) {
        time.now += 10_000;
        await sleep(5);
    }
    process.setUncaughtExceptionCaptureCallback(nothing);
    assert.equal(thrown.length, 1);
    assert.deepEqual(log, ["other"]);
});

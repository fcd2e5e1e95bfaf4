import { FakeClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { setImmediate as nextTurn, setTimeout as sleep } from "node:timers/promises";
import { createAnswerMemory } from "../createAnswerMemory.js";

const mebibyte = 1024 * 1024;

function createBench(maxMebibytes: number) {
    const clock = new FakeClock();
    const memory = createAnswerMemory({ clock, maxBytes: maxMebibytes * mebibyte });
    const givenUp: string[] = [];
    /** Opens an answer that reads a mebibyte at a time until it has all. */
    const open = (name: string, mebibytes: number, deadline = Infinity) => {
        const held = memory.open(deadline, () => {
            givenUp.push(name);
            held.close();
        });
        let bytes = 0;
        const read = () => {
            while (bytes < mebibytes * mebibyte && held.mayRead(read)) {
                bytes += mebibyte;
                held.update(bytes);
            }
        };
        read();
        return { held, isWhole: () => bytes === mebibytes * mebibyte };
    };
    return { clock, memory, givenUp, open };
}

async function settle(): Promise<void> {
    for (let turn = 0; turn < 40; turn++) {
        await nextTurn();
    }
}

// Guards against a process that holds the sum of all answers, and against answers that wait for each other for ever.
test("reads one answer at a time beyond the memory, the first one first, and all in the end", async () => {
    const { memory, open } = createBench(4);
    const answers = ["a", "b", "c"].map(name => open(name, 3));
    await settle();
    assert.deepEqual(answers.map(({ isWhole }) => isWhole()), [true, true, false], "the second is beyond the memory");
    assert.ok(memory.counts().bytes <= (4 + 3) * mebibyte);
    answers[0]?.held.close();
    answers[1]?.held.close();
    await settle();
    assert.equal(answers[2]?.isWhole(), true);
    answers[2].held.close();
    assert.deepEqual([memory.counts().bytes, memory.counts().waiting], [0, 0]);
});

// Guards against short calls that wait for large ones.
test("never holds back an answer of less than 64 KiB", async () => {
    const { memory, open } = createBench(2);
    open("large", 8);
    open("waiting", 8);
    await settle();
    const short = memory.open(Infinity, () => undefined);
    assert.equal(short.mayRead(() => undefined), true);
    short.update(60 * 1024);
    assert.equal(short.mayRead(() => undefined), true);
});

// Guards against callers that do not read their answers and so keep all others from theirs.
test("gives up answers that are not read by their deadline, only while others wait", async () => {
    const { clock, givenUp, open } = createBench(2);
    open("unread", 4, clock.monotonicNow() + 1_000);
    await clock.advance(2_000);
    await sleep(250);
    assert.deepEqual(givenUp, []);
    const next = open("next", 4);
    while (!next.isWhole()) {
        await sleep(20);
    }
    assert.deepEqual(givenUp, ["unread"]);
});

test("forgets an answer that is closed while its target is held back", async () => {
    const { memory, open } = createBench(2);
    const first = open("first", 4);
    const second = open("second", 4);
    await settle();
    assert.equal(second.held.isWaiting(), true);
    second.held.close();
    assert.equal(memory.counts().waiting, 0);
    first.held.close();
    await settle();
    assert.equal(memory.counts().bytes, 0);
});

// Guards against a target that stalls within the one answer that may be read, which held back all others until its deadline.
test("reads another answer when the one beyond the memory has not grown for 250 ms, within a bound of bytes", async () => {
    const { clock, memory, open } = createBench(2);
    open("large", 2);
    const stalled = memory.open(Infinity, () => undefined);
    stalled.update(mebibyte);
    assert.equal(stalled.mayRead(() => undefined), false);
    await settle();
    assert.equal(stalled.mayRead(() => undefined), true, "it alone may be read");
    const others = [8, 8, 8].map((mebibytes, index) => open(`other ${index}`, mebibytes));
    await settle();
    assert.deepEqual(others.map(({ isWhole }) => isWhole()), [false, false, false]);
    for (let round = 0; round < 5; round++) {
        await clock.advance(300);
        await sleep(150);
    }
    assert.deepEqual(others.map(({ isWhole }) => isWhole()), [true, true, false]);
    assert.ok(memory.counts().bytes < (2 + 16 + 8) * mebibyte, `${memory.counts().bytes} bytes`);
});

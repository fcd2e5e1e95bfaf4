import assert from "node:assert/strict";
import { test } from "node:test";
import { createCallQueue } from "../createCallQueue.js";

const full = { any: 0, withinShare: 0 };
const oneFree = { any: 1, withinShare: 1 };

/** A queue of a process at which 20 calls a second, of 100 ms each, have ended for a while. */
function createScene() {
    const queue = createCallQueue(0);
    const events: string[] = [];
    const retryTimes: number[] = [];
    const now = 5_000;
    for (let at = 0; at < now; at += 50) {
        queue.recordEnd(100, at);
    }
    const add = (
        name: string,
        deadline: number,
        { priority = 1, account = name }: Partial<Record<"account", string>> & { priority?: number; } = {},
    ) => queue.add({
        account,
        priority,
        deadline,
        start: () => events.push(`start ${name}`),
        refuse: retryAt => {
            events.push(`refuse ${name}`);
            retryTimes.push(retryAt);
        },
    }, now);
    return { queue, events, retryTimes, now, add };
}

test("starts calls as targets have room, the more urgent first", () => {
    const { queue, events, now, add } = createScene();
    add("late", now + 1_000, { priority: 2 });
    add("first", now + 1_000);
    add("urgent", now + 1_000, { priority: 0 });
    queue.judge(full, now);
    assert.deepEqual(events, []);
    [0, 10, 20].forEach(after => queue.judge(oneFree, now + after));
    assert.deepEqual(events, ["start urgent", "start first", "start late"]);
});

// Guards against calls that are held until their deadline and refused then.
test("refuses at once what could not end before its deadline, with times that are apart", () => {
    const { queue, events, retryTimes, now, add } = createScene();
    for (let call = 0; call < 8; call++) {
        add(`${call}`, now + 320);
    }
    queue.judge(full, now);
    // A call ends each 50 ms and lasts 100 ms, so the fourth one ends in time.
    assert.deepEqual(events, ["refuse 4", "refuse 5", "refuse 6", "refuse 7"]);
    const gaps = retryTimes.slice(1).map((time, index) => Math.round(time - (retryTimes[index] ?? 0)));
    gaps.forEach(gap => assert.ok(gap >= 45, `${gap} ms apart where a call ends each 50 ms`));
    assert.ok(retryTimes.every(time => time > now));
});

test("judges waiting calls again: a less urgent one gives way to one that comes later", () => {
    const { queue, events, now, add } = createScene();
    add("patient", now + 180, { priority: 2 });
    queue.judge(full, now);
    assert.deepEqual(events, []);
    add("urgent", now + 180, { priority: 0 });
    queue.judge(full, now);
    assert.deepEqual(events, ["refuse patient"]);
});

test("a call without room whose time has passed is refused and not started", () => {
    const { queue, events, now, add } = createScene();
    add("a", now + 250);
    queue.judge(full, now);
    queue.judge(oneFree, now + 200);
    assert.deepEqual(events, ["refuse a"]);
    assert.equal(queue.length(), 0);
});

// Guards against an account that takes the others' share by the number of its calls.
test("an account within its share comes before the calls that another has beyond its own", () => {
    const { queue, events, now, add } = createScene();
    for (let call = 0; call < 30; call++) {
        queue.recordPassed("greedy", now);
    }
    add("g", now + 1_000, { account: "greedy", priority: 0 });
    add("m", now + 1_000, { account: "modest", priority: 2 });
    queue.judge(oneFree, now);
    assert.deepEqual(events, ["start m"]);
});

test("a share that nobody uses is lent", () => {
    const { queue, events, now, add } = createScene();
    for (let call = 0; call < 30; call++) {
        queue.recordPassed("greedy", now);
    }
    add("g", now + 1_000, { account: "greedy" });
    queue.judge(oneFree, now);
    assert.deepEqual(events, ["start g"]);
});

test("holds a bounded number of calls", () => {
    const { queue, now, add } = createScene();
    for (let call = 0; call < 400; call++) {
        add(`${call}`, now + 3_600_000);
    }
    queue.judge(full, now);
    assert.equal(queue.length(), 256);
});

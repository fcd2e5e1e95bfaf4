import { FakeClock, MemoryEventLog } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { FeedRow } from "../../../ports/changeFeed.js";
import type { ListedTarget } from "../../../ports/listedTarget.js";
import { createTargetList } from "../createTargetList.js";

function createBench() {
    const clock = new FakeClock();
    const eventLog = new MemoryEventLog();
    const list = createTargetList({ decode: (targetId, text) => JSON.parse(text) as ListedTarget, clock, eventLog });
    const gone: string[] = [];
    list.onGone(targetId => gone.push(targetId));
    return { clock, eventLog, list, gone };
}

function row(targetId: string, isLeaving = false): FeedRow {
    const target: ListedTarget = {
        targetId,
        service: "s",
        address: "10.0.0.1:80",
        availabilityZone: "z",
        slots: 4,
        isLeaving,
    };
    return { key: targetId, version: 1, text: JSON.stringify(target) };
}

const removed = (targetId: string): FeedRow => ({ key: targetId, version: 2, text: undefined });

test("a target that leaves or whose entry is removed takes no new work from then on", () => {
    const { list, gone } = createBench();
    list.replace([row("a"), row("b"), row("c")]);
    list.change([row("a", true), removed("b")]);
    assert.deepEqual(list.open("s").map(target => target.targetId), ["c"]);
    assert.equal(list.isOpen("a"), false);
    assert.equal(list.isOpen("b"), false);
    assert.deepEqual(gone, ["b"]);
});

test("what a whole reading lacks is gone", () => {
    const { list } = createBench();
    list.replace([row("a"), row("b")]);
    list.replace([row("b")]);
    assert.equal(list.isOpen("a"), false);
    assert.equal(list.isOpen("b"), true);
});

test("an entry that lapsed in an outage counts until it had time to come back", async () => {
    const { list, clock, gone } = createBench();
    list.replace([row("a"), row("b")]);
    list.noteStoreCall(false);
    list.noteStoreCall(true);
    list.replace([]);
    assert.equal(list.isOpen("a"), true);
    await clock.advance(1_000);
    list.change([row("b")]);
    await clock.advance(1_300);
    assert.equal(list.isOpen("a"), false);
    assert.equal(list.isOpen("b"), true);
    assert.deepEqual(gone, ["a"]);
    assert.deepEqual(list.open("s").map(target => target.targetId), ["b"]);
});

test("leaving that is told right after an outage counts at once", () => {
    const { list } = createBench();
    list.replace([row("a")]);
    list.noteStoreCall(false);
    list.change([row("a", true)]);
    assert.equal(list.isOpen("a"), false);
});

test("an entry that can't be read leaves the one before in force and is recorded", () => {
    const { list, eventLog } = createBench();
    list.replace([row("a")]);
    list.change([{ key: "a", version: 3, text: "{" }]);
    assert.equal(list.isOpen("a"), true);
    assert.equal(eventLog.events.at(-1)?.kind, "fault");
});

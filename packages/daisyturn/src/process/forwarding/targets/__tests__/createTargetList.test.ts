import { EventKind, FakeClock, MemoryEventLog } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { FeedRow } from "../../../../ports/changeFeed.js";
import type { ListedTarget } from "../../../../ports/listedTarget.js";
import { createTargetList } from "../createTargetList.js";

function createBench() {
    const clock = new FakeClock();
    const eventLog = new MemoryEventLog();
    const list = createTargetList({ decode: (targetId, text) => JSON.parse(text) as ListedTarget, clock, eventLog });
    const removedTargets: string[] = [];
    list.onRemoved(targetId => removedTargets.push(targetId));
    return { clock, eventLog, list, removedTargets };
}

function row(name: string, isLeaving = false, startedAt?: number, version = 1): FeedRow {
    const target: ListedTarget = {
        targetId: startedAt === undefined ? name : `${name}@${startedAt}`,
        name,
        startedAt,
        service: "s",
        address: "10.0.0.1:80",
        availabilityZone: "z",
        slots: 4,
        isLeaving,
        softwareVersion: "v1",
    };
    return { key: name, version, text: JSON.stringify(target) };
}

const removed = (targetId: string): FeedRow => ({ key: targetId, version: 2, text: undefined });

test("a target that is leaving or whose entry is removed accepts no new work", () => {
    const { list, removedTargets } = createBench();
    list.replace([row("a"), row("b"), row("c")]);
    list.change([row("a", true), removed("b")]);
    assert.deepEqual(list.open("s").map(target => target.targetId), ["c"]);
    assert.equal(list.isOpen("a"), false);
    assert.equal(list.isOpen("b"), false);
    assert.deepEqual(removedTargets, ["b"]);
});

// Guards against work that is sent to an engine which the platform takes away within seconds.
test("a target whose entry says when it ends accepts no new work, and stages are planned without it", () => {
    const { list } = createBench();
    const leaving = row("a");
    list.replace([row("b"), {
        ...leaving,
        text: JSON.stringify({ ...JSON.parse(leaving.text ?? ""), leavesInMilliseconds: 2_500 }),
    }]);
    assert.deepEqual(list.open("s").map(target => target.targetId), ["b"]);
    assert.equal(list.isOpen("a"), false);
});

test("a target that is missing from a full read is removed", () => {
    const { list } = createBench();
    list.replace([row("a"), row("b")]);
    list.replace([row("b")]);
    assert.equal(list.isOpen("a"), false);
    assert.equal(list.isOpen("b"), true);
});

// Guards against targets that count as removed before they could be listed again, because the time for that is counted from
// the last failed call, which may be more than a second before the end of the outage.
test("the grace time of an expired entry begins with the first answer after an outage", async () => {
    const { list, clock } = createBench();
    list.replace([row("a")]);
    list.recordStoreCall(false);
    await clock.advance(1_200);
    list.recordStoreCall(true);
    list.change([removed("a")]);
    await clock.advance(2_000);
    list.recordStoreCall(true);
    assert.equal(list.isOpen("a"), true);
    await clock.advance(200);
    assert.equal(list.isOpen("a"), false);
});

test("an entry that expired in an outage remains valid for the grace time after it", async () => {
    const { list, clock, removedTargets } = createBench();
    list.replace([row("a"), row("b")]);
    list.recordStoreCall(false);
    list.recordStoreCall(true);
    list.replace([]);
    assert.equal(list.isOpen("a"), true);
    await clock.advance(1_000);
    list.change([row("b")]);
    await clock.advance(1_300);
    assert.equal(list.isOpen("a"), false);
    assert.equal(list.isOpen("b"), true);
    assert.deepEqual(removedTargets, ["a"]);
    assert.deepEqual(list.open("s").map(target => target.targetId), ["b"]);
});

test("a leaving state that is received right after an outage takes effect at once", () => {
    const { list } = createBench();
    list.replace([row("a")]);
    list.recordStoreCall(false);
    list.change([row("a", true)]);
    assert.equal(list.isOpen("a"), false);
});

test("an entry that can't be decoded removes its target and leaves the others unchanged", () => {
    const { list, eventLog, removedTargets } = createBench();
    list.replace([row("a"), row("b")]);
    list.change([{ key: "a", version: 3, text: "{" }]);
    assert.equal(list.isOpen("a"), false);
    assert.equal(list.find("a"), undefined);
    assert.deepEqual(list.open("s").map(target => target.targetId), ["b"]);
    assert.deepEqual(removedTargets, ["a"]);
    assert.deepEqual(eventLog.events.slice(-2).map(event => event.kind), ["fault", "target_gone"]);
    list.change([row("a")]);
    assert.equal(list.isOpen("a"), true);
});

test("an entry that can't be decoded removes its target also right after an outage", () => {
    const { list } = createBench();
    list.replace([row("a")]);
    list.recordStoreCall(false);
    list.change([{ key: "a", version: 3, text: "{" }]);
    assert.equal(list.isOpen("a"), false);
});

test("entries that can't be decoded are logged once each, up to a limit", () => {
    const { list, eventLog } = createBench();
    const unreadable = (index: number) => ({ key: `x${index}`.padEnd(200, "x"), version: index, text: "{" });
    for (let index = 0; index < 500; index++) {
        list.change([unreadable(index), unreadable(0)]);
    }
    const faults = eventLog.events.filter(event => event.kind === "fault");
    assert.equal(faults.length, 64);
    assert.ok(faults.every(event => String(event.fields["target"]).length <= 80));
});

test("a target that restarts under the same name is a new target, and the previous incarnation is removed", () => {
    const { list, removedTargets } = createBench();
    list.replace([row("a", false, 1_000), row("b", false, 1_000)]);
    list.change([row("a", false, 2_000)]);
    assert.deepEqual(removedTargets, ["a@1000"]);
    assert.equal(list.isOpen("a@1000"), false);
    assert.equal(list.isOpen("a@2000"), true);
    assert.deepEqual(list.open("s").map(target => target.targetId).sort(), ["a@2000", "b@1000"]);
});

test("a late entry of the previous incarnation is ignored", () => {
    const { list, removedTargets } = createBench();
    list.replace([row("a", false, 2_000)]);
    list.change([row("a", true, 1_000)]);
    assert.equal(list.isOpen("a@2000"), true);
    assert.deepEqual(removedTargets, []);
});

test("a restart during an outage takes effect with the first read after it", () => {
    const { list, removedTargets } = createBench();
    list.replace([row("a", false, 1_000)]);
    list.recordStoreCall(false);
    list.replace([row("a", false, 2_000)]);
    assert.deepEqual(removedTargets, ["a@1000"]);
    assert.equal(list.isOpen("a@1000"), false);
    assert.equal(list.isOpen("a@2000"), true);
});

// Guards against new work for a leaving target whose leaving state was lost in a store rollback.
test("a leaving target stays closed after a store rollback, whatever its entry says, until it has restarted", () => {
    const { list } = createBench();
    list.replace([row("a", false, 1_000), row("b", false, 1_000)]);
    list.change([row("a", true, 1_000)]);
    list.replace([row("a", false, 1_000), row("b", false, 1_000)], true);
    assert.equal(list.isOpen("a@1000"), false);
    assert.equal(list.isOpen("b@1000"), true);
    list.change([row("a", false, 1_000, 2)]);
    assert.equal(list.isOpen("a@1000"), false);
    list.replace([row("a", false, 2_000)], true);
    assert.equal(list.isOpen("a@2000"), true);
});

// Guards against work sent to ended targets by a process that the store rejects while it answers others.
test("an entry that a coordinator found removed is removed despite failed store calls of this process", () => {
    const { list, clock } = createBench();
    list.replace([row("a"), row("b")]);
    list.recordStoreCall(false);
    list.change([removed("a")], -Infinity);
    assert.equal(list.isOpen("a"), false);
    list.change([removed("b")], clock.monotonicNow());
    assert.equal(list.isOpen("b"), true);
});

// Guards against calls to a target that leaves, while the store can't accept its word and still lists it as ready.
test("a target that has said that it leaves accepts no new work, whatever its entry says, until it has restarted", () => {
    const { list, eventLog } = createBench();
    list.replace([row("a", false, 1), row("b")]);
    list.recordLeaving("a@1");
    list.recordLeaving("a@1");
    list.recordLeaving("unknown");
    assert.equal(list.isOpen("a@1"), false);
    assert.deepEqual(list.open("s").map(target => target.targetId), ["b"]);
    assert.equal(eventLog.of(EventKind.TargetLeaving).length, 1);
    list.change([row("a", false, 1)]);
    list.replace([row("a", false, 1), row("b")]);
    assert.equal(list.isOpen("a@1"), false);
    assert.equal(list.list("s").length, 2);
    list.change([row("a", false, 2)]);
    assert.equal(list.isOpen("a@2"), true);
});

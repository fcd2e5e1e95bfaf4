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
    return { clock, eventLog, list };
}

/** @param startedAt wall-clock time of the start of target `a` */
function row(version: number, { isLeaving = false, startedAt = 1 } = {}): FeedRow {
    const target: ListedTarget = {
        targetId: `a@${startedAt}`,
        name: "a",
        startedAt,
        service: "s",
        address: "10.0.0.1:80",
        availabilityZone: "z",
        slots: 4,
        isLeaving,
        softwareVersion: "v1",
    };
    return { key: "a", version, text: JSON.stringify(target) };
}

const removed = (version: number): FeedRow => ({ key: "a", version, text: undefined });

// Guards against work for a target that has left, after the store came back from a copy in which it is listed (review/3).
test("a removed target that an older copy of the store lists gets no work until its row is written again", () => {
    const { list, eventLog } = createBench();
    list.replace([row(5)]);
    list.change([removed(9)]);
    list.replace([row(7)], true);
    assert.equal(list.isOpen("a@1"), false);
    assert.deepEqual(list.open("s"), []);
    assert.equal(list.countKeptClosed(), 1);
    assert.deepEqual(eventLog.of(EventKind.TargetKeptClosed).map(({ fields }) => fields["departure"]), ["removal"]);
    list.replace([row(7)]);
    assert.equal(list.isOpen("a@1"), false, "a full read for lost history is no sign of life");
    list.replace([row(7)], true);
    assert.equal(list.isOpen("a@1"), false, "a second rollback");
    list.change([row(8)]);
    assert.equal(list.isOpen("a@1"), true);
    assert.equal(list.countKeptClosed(), 0);
    list.change([removed(9)]);
    list.replace([row(8)], true);
    list.replace([], true);
    list.change([row(3)]);
    assert.equal(list.isOpen("a@1"), true, "versions are given out again in each era");
});

// Guards against the loss of targets that the store removes while they are cut off from it.
test("a target whose row is written again after its removal takes work", () => {
    const { list } = createBench();
    list.replace([row(5)]);
    list.change([removed(6)]);
    list.change([row(7)]);
    assert.equal(list.isOpen("a@1"), true);
});

// Guards against a word that is forgotten together with the row of its target.
test("a target whose row or answer said that it leaves gets no work again in that incarnation", () => {
    for (const learnLeaving of ["row", "word", "late word"]) {
        const { list, eventLog } = createBench();
        list.replace([row(5)]);
        if (learnLeaving === "row") {
            list.change([row(6, { isLeaving: true })]);
        }
        else if (learnLeaving === "word") {
            list.recordLeaving("a@1");
        }
        list.change([removed(7)]);
        if (learnLeaving === "late word") {
            list.recordLeaving("a@1");
        }
        for (
            const [rows, isAfterRollback] of [[[row(8)], false], [[], false], [[row(4)], true], [
                [row(9)],
                false,
            ]] as const
        ) {
            list.replace(rows, isAfterRollback);
            assert.deepEqual(list.open("s"), [], learnLeaving);
        }
        list.change([row(10)]);
        assert.deepEqual(list.open("s"), [], learnLeaving);
        assert.ok(eventLog.of(EventKind.TargetKeptClosed).length >= 1);
        list.change([row(11, { startedAt: 2 })]);
        assert.equal(list.isOpen("a@2"), true);
    }
});

// Guards against work for an incarnation that another one has followed, after both rows were lost.
test("an incarnation that another one has followed gets no work, also when its successor is gone", () => {
    const { list } = createBench();
    list.replace([row(5)]);
    list.change([row(6, { startedAt: 2 })]);
    list.change([removed(7)]);
    list.replace([row(5)], true);
    list.change([row(8)]);
    assert.deepEqual(list.open("s"), []);
});

// Guards against memory that grows with each target that was ever listed.
test("departures are bounded, and the oldest are dropped first", () => {
    const { list } = createBench();
    const rowOf = (index: number, isLeaving: boolean) => {
        const target = JSON.parse(row(1, { isLeaving }).text ?? "") as ListedTarget;
        const name = `t${index}`;
        return { key: name, version: index, text: JSON.stringify({ ...target, targetId: name, name }) };
    };
    for (let index = 0; index < 5_000; index++) {
        list.change([rowOf(index, true)]);
        list.change([{ key: `t${index}`, version: index, text: undefined }]);
    }
    list.replace([rowOf(0, false), rowOf(4_999, false)], true);
    assert.equal(list.isOpen("t0"), true);
    assert.equal(list.isOpen("t4999"), false);
});

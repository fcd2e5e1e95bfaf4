import { EventKind, FakeClock, MemoryEventLog } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ProbeResult } from "../../../../connection/target/probeAddress.js";
import type { ListedTarget } from "../../../../ports/listedTarget.js";
import { ConnectionBreak, createTargetContinuity } from "../createTargetContinuity.js";
import { createTargetList } from "../createTargetList.js";

function createBench() {
    const clock = new FakeClock();
    const eventLog = new MemoryEventLog();
    const list = createTargetList({ decode: (name, text) => JSON.parse(text) as ListedTarget, clock, eventLog });
    const continuity = createTargetContinuity(list, clock, eventLog);
    const start = (startedAt: number) => list.change([{ key: "a", version: startedAt, text: createText(startedAt) }]);
    start(1);
    const breakOff = (how: ConnectionBreak, found = ProbeResult.Refused) =>
        continuity.recordBroken("a@1", how, () => Promise.resolve(found));
    return { clock, eventLog, list, continuity, start, breakOff };
}

function createText(startedAt: number): string {
    const target: ListedTarget = {
        targetId: `a@${startedAt}`,
        name: "a",
        startedAt,
        service: "s",
        address: "10.0.0.1:80",
        availabilityZone: "z",
        slots: 4,
        isLeaving: false,
        softwareVersion: "v1",
    };
    return JSON.stringify(target);
}

// Guards against streams that are resumed at the next incarnation of a target, before its row is read (review/2).
test("a target whose connection broke is not confirmed until its row would have expired", async () => {
    const { clock, eventLog, continuity, breakOff } = createBench();
    assert.equal(continuity.isConfirmed("a@1"), true);
    breakOff(ConnectionBreak.Opening);
    breakOff(ConnectionBreak.Opening);
    assert.equal(continuity.countUnconfirmed(), 1);
    assert.equal(eventLog.of(EventKind.TargetUnconfirmed).length, 1);
    await clock.advance(4_900);
    assert.equal(continuity.isConfirmed("a@1"), false);
    await clock.advance(200);
    assert.equal(continuity.isConfirmed("a@1"), true);
    assert.equal(continuity.countUnconfirmed(), 0);
});

// Guards against a target that counts as alive only because an outage of the store keeps its row from expiring.
test("a target is not confirmed by its row while the store does not answer", async () => {
    const { clock, list, continuity, breakOff } = createBench();
    breakOff(ConnectionBreak.Opening);
    list.recordStoreCall(false);
    await clock.advance(20_000);
    assert.equal(continuity.isConfirmed("a@1"), false);
    list.recordStoreCall(true);
    await clock.advance(4_900);
    assert.equal(continuity.isConfirmed("a@1"), false);
    await clock.advance(200);
    assert.equal(continuity.isConfirmed("a@1"), true);
});

// Guards against streams that can't go on for seconds because a target broke off a single connection.
test("bytes over a connection that was open before confirm a target, unless they may have been sent before its end", async () => {
    const { clock, continuity, breakOff } = createBench();
    const openedAt = clock.monotonicNow();
    await clock.advance(100);
    breakOff(ConnectionBreak.Opening);
    continuity.recordBytesReceived("a@1", openedAt);
    assert.equal(continuity.isConfirmed("a@1"), false);
    assert.equal(continuity.isConfirmed("a@1", openedAt), true, "that connection leads to the listed incarnation");
    await clock.advance(300);
    continuity.recordBytesReceived("a@1", clock.monotonicNow());
    assert.equal(continuity.isConfirmed("a@1"), false, "the connection was opened after the other one broke");
    continuity.recordBytesReceived("a@1", openedAt);
    assert.equal(continuity.isConfirmed("a@1"), true);
});

// Guards against what is known of one incarnation and held against the next one, or for it.
test("a target that has restarted stays unconfirmed for good, and its next incarnation is confirmed", async () => {
    const { clock, continuity, start, breakOff } = createBench();
    breakOff(ConnectionBreak.Opening);
    start(2);
    assert.equal(continuity.hasRestarted("a@1"), true);
    assert.equal(continuity.isConfirmed("a@2"), true);
    continuity.recordBytesReceived("a@1", -1);
    breakOff(ConnectionBreak.Opening);
    await clock.advance(60_000);
    assert.equal(continuity.isConfirmed("a@1"), false);
    assert.equal(continuity.countUnconfirmed(), 0);
});

// Guards against streams that can't go on since targets that still run broke off others.
test("a target that takes connections soon after it broke one off is confirmed, unless its port refused one", async () => {
    for (
        const [how, found, isConfirmed] of [
            [ConnectionBreak.Answering, ProbeResult.Accepted, true],
            [ConnectionBreak.Answering, ProbeResult.Refused, false],
            [ConnectionBreak.Idle, ProbeResult.Accepted, true],
            [ConnectionBreak.Opening, ProbeResult.Accepted, false],
        ] as const
    ) {
        const { clock, continuity, breakOff } = createBench();
        breakOff(how, found);
        await clock.advance(90);
        assert.equal(continuity.isConfirmed("a@1"), false);
        continuity.recordOpened("a@1", clock.monotonicNow());
        assert.equal(continuity.isConfirmed("a@1"), false, "its port may not be closed yet");
        await clock.advance(20);
        assert.equal(continuity.isConfirmed("a@1"), isConfirmed, `${how} ${found}`);
        continuity.recordOpened("a@1", clock.monotonicNow());
        const hasRefused = how === ConnectionBreak.Opening || found === ProbeResult.Refused;
        assert.equal(continuity.isConfirmed("a@1"), !hasRefused, `${how} ${found}, and took another connection`);
    }
});

import assert from "node:assert/strict";
import { test } from "node:test";
import { OrderAnswer } from "../../../../ports/engineOrders.js";
import { EngineStage } from "../../../../ports/listedTarget.js";
import { createScene } from "../__fixtures__/createScene.js";

test("an engine moves to a stage without engines, closed before the order and reopened after it", async () => {
    const { clock, sent, list, closed, end } = createScene({ readers: 3, decoders: 0 });
    await clock.advance(3_000);
    const [first] = sent;
    assert.ok(first);
    assert.deepEqual([first.stage, first.fencingNumber, first.expectedOrders], [EngineStage.Decode, 7, 3]);
    assert.equal(first.wasClosed, true);
    assert.ok(first.at <= 2_500, `ordered after ${first.at} ms`);
    assert.equal(closed.isClosed(first.target.targetId), true);
    list(first.target.targetId, EngineStage.Decode);
    await clock.advance(600);
    assert.equal(closed.isClosed(first.target.targetId), false);
    await end();
});

// Guards against streams that can't be continued and prefill engines that nobody uses, since no engine of their software
// version decodes.
test("one engine of a software version of which none decodes is moved to decode", async () => {
    const { clock, sent, list, end } = createScene({ readers: 2, decoders: 5 });
    list("p8", EngineStage.Prefill, "v2");
    list("p9", EngineStage.Prefill, "v2");
    await clock.advance(6_000);
    assert.deepEqual(sent.map(({ target, stage }) => [target.softwareVersion, stage]), [["v2", EngineStage.Decode]]);
    await end();
});

test("the only engine that decodes for its software version keeps its stage, and the others take their turn", async () => {
    const { sent, list, demandPrefill, end } = createScene({ readers: 3, decoders: 1 });
    ["d6", "d7", "d8", "d9"].forEach(targetId => list(targetId, EngineStage.Decode, "v2"));
    await demandPrefill(12, 4_000);
    assert.deepEqual(sent.map(({ target, stage }) => [target.softwareVersion, stage]), [["v2", EngineStage.Prefill]]);
    await end();
});

test("no order is sent without the lease or by a process that is not the planner", async () => {
    for (const options of [{ isLeaseHeld: () => false }, { isPlanner: false }]) {
        const { clock, sent, end } = createScene({ readers: 3, decoders: 0, ...options });
        await clock.advance(10_000);
        assert.deepEqual(sent, []);
        await end();
    }
});

test("an engine that has restarted since it was listed is not sent an order for its previous incarnation", async () => {
    const startOf = (targetId: string) => `${targetId}@later`;
    const { clock, sent, end } = createScene({ readers: 3, decoders: 0, startOf });
    await clock.advance(6_000);
    assert.deepEqual(sent, []);
    await end();
});

// Guards against an outage that lasts for as long as the only engine left does, because it prefills.
test("the only engine of a service is moved to decode, however the others have gone, and keeps that stage", async () => {
    const { clock, sent, list, end } = createScene({ readers: 1, decoders: 0 });
    await clock.advance(3_000);
    assert.deepEqual(sent.map(({ target, stage }) => [target.targetId, stage]), [["p0", EngineStage.Decode]]);
    list("p0", EngineStage.Decode);
    await clock.advance(60_000);
    assert.equal(sent.length, 1);
    await end();
});

test("an unanswered order is not repeated while it may still take effect", async () => {
    const one = createScene({ readers: 1, decoders: 0, answer: OrderAnswer.Unknown });
    await one.clock.advance(7_000);
    assert.equal(one.sent.length, 1);
    await one.end();
    assert.equal(one.closed.isClosed("p0"), false);

    const two = createScene({ readers: 2, decoders: 0, answer: OrderAnswer.Unknown });
    await two.clock.advance(7_000);
    assert.equal(two.sent.length, 1);
    assert.equal(two.closed.isClosed(two.sent[0]?.target.targetId ?? ""), true);
    await two.end();
});

test("an engine is ordered to prefill after two seconds of prefill overload, not in a shorter burst", async () => {
    const short = createScene({ readers: 3, decoders: 5 });
    short.beginDecodeCalls(3, 6);
    await short.demandPrefill(12, 1_000);
    await short.clock.advance(6_000);
    assert.deepEqual(short.sent, []);
    await short.end();

    const long = createScene({ readers: 3, decoders: 5 });
    long.beginDecodeCalls(3, 6);
    await long.demandPrefill(12, 4_000);
    assert.deepEqual(long.sent.map(order => order.stage), [EngineStage.Prefill]);
    await long.end();
});

test("the lease is held for its length after the last need and then released", async () => {
    const { clock, sent, list, end, isLeaseRunning } = createScene({ readers: 3, decoders: 0 });
    await clock.advance(3_000);
    sent.forEach(order => list(order.target.targetId, EngineStage.Decode));
    list("d8", EngineStage.Decode);
    list("d9", EngineStage.Decode);
    await clock.advance(1_000);
    assert.equal(isLeaseRunning(), true);
    await clock.advance(6_000);
    assert.equal(isLeaseRunning(), false);
    await end();
});

test("no order is sent and no lease is acquired while the engines can serve the load", async () => {
    const { clock, sent, end, isLeaseRunning } = createScene({ readers: 3, decoders: 5 });
    await clock.advance(15_000);
    assert.deepEqual(sent, []);
    assert.equal(isLeaseRunning(), false);
    await end();
});

// Guards against an outage that lasts until the entries of terminated engines expire.
test("decode engines that stop responding are replaced while they are still listed", async () => {
    const isAnswering = (targetId: string) => !targetId.startsWith("d");
    const { clock, sent, failCalls, end } = createScene({ readers: 4, decoders: 2, isAnswering });
    await clock.advance(3_000);
    failCalls("d0");
    await clock.advance(2_000);
    assert.deepEqual(sent.map(order => order.stage), [EngineStage.Decode, EngineStage.Decode]);
    await end();
});

// Guards against an order to a terminated engine that blocks orders to other engines for seconds.
test("an unresponsive engine is not chosen for a stage change and does not delay the others", async () => {
    const isAnswering = (targetId: string) => targetId === "p2";
    const { clock, sent, failCalls, beginDecodeCalls, end } = createScene({ readers: 3, decoders: 2, isAnswering });
    beginDecodeCalls(2, 1);
    await clock.advance(3_000);
    failCalls("d0", "d1", "p0");
    await clock.advance(3_500);
    assert.deepEqual(sent.map(order => order.target.targetId), ["p2"]);
    await end();
});

// Guards against changing every remaining engine because terminated engines that receive no calls count as available.
test("an engine of the other stage remains when idle engines of that stage have also stopped responding", async () => {
    const isAnswering = (targetId: string) => ["p2", "p3"].includes(targetId);
    const { clock, sent, failCalls, end } = createScene({ readers: 4, decoders: 2, isAnswering });
    await clock.advance(3_000);
    failCalls("d0");
    await clock.advance(4_000);
    assert.equal(sent.length, 1);
    await end();
});

// Guards against stage changes caused by network faults or single failed reads while the engines work.
test("engines that answer status reads keep their stage despite failed calls", async () => {
    for (const isAnswering of [() => true, (targetId: string, read: number) => read > 1]) {
        const { clock, sent, reads, failCalls, end } = createScene({ readers: 4, decoders: 2, isAnswering });
        await clock.advance(3_000);
        failCalls("d0", "d1");
        await clock.advance(10_000);
        assert.deepEqual(sent, []);
        assert.ok((reads.get("d0") ?? 0) <= 13, `${reads.get("d0")} reads in ten seconds`);
        await end();
    }
});

// Guards against status reads, which load the engines, when the remaining engines would suffice.
test("no engine status is read while the healthy engines can serve alone", async () => {
    const { clock, reads, failCalls, end } = createScene({ readers: 3, decoders: 4, isAnswering: () => false });
    await clock.advance(3_000);
    failCalls("d0", "p0");
    await clock.advance(3_000);
    assert.equal(reads.size, 0);
    await end();
});

// Guards against a needless closing wait: without a decode engine, no work is sent to prefill engines.
test("an engine is ordered without a closing wait when none decodes, and after it otherwise", async () => {
    const withoutDecoder = createScene({ readers: 3, decoders: 0 });
    await withoutDecoder.clock.advance(600);
    assert.equal(withoutDecoder.sent[0]?.wasClosed, true);
    await withoutDecoder.end();

    const withDecoder = createScene({ readers: 3, decoders: 1 });
    await withDecoder.clock.advance(800);
    assert.equal(withDecoder.sent.length, 0);
    await withDecoder.clock.advance(200);
    assert.equal(withDecoder.sent[0]?.wasClosed, true);
    await withDecoder.end();
});

import { FakeClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { ListedTarget } from "../../../ports/listedTarget.js";
import { createTargetLoads } from "../../forwarding/views/createTargetLoads.js";
import { createPlainShortage, QueueResult } from "../createPlainShortage.js";

const service = "plain";

function createBench({ isActive = true } = {}) {
    const clock = new FakeClock();
    const loads = createTargetLoads(clock);
    const targets = ["a", "b"].map(targetId => ({ targetId, service }) as ListedTarget);
    const distrusted = new Set<string>();
    const shortage = createPlainShortage({
        targets: { open: () => targets },
        availability: { check: () => undefined },
        continuity: { isConfirmed: () => true },
        health: { selectTrusted: usable => usable.filter(({ targetId }) => !distrusted.has(targetId)) },
        loads,
        isActive: () => isActive,
        recordQueued: () => undefined,
        clock,
    });
    const caller = new AbortController();
    const call = { service, priority: 0, deadline: 2_000, signal: caller.signal };
    const begin = (targetId: string, count: number) =>
        Array.from({ length: count }, () => loads.begin(targetId, { work: 0, isDeferred: false, tokens: 0 }));
    const report = (targetId: string, waiting = 0) =>
        shortage.recordReport({ targetId, service }, { running: 0, waiting, slots: 2 });
    return { clock, shortage, distrusted, caller, call, begin, report };
}

// Guards against calls that are held back without need.
test("holds nothing back while a target has room or has reported no load, and without client accounts", () => {
    const { shortage, call, begin, report } = createBench();
    begin("a", 10);
    report("a");
    assert.equal(shortage.mayPass(call), true, "b has reported nothing");
    report("b");
    begin("b", 2);
    assert.equal(shortage.mayPass(call), true, "b has room for one more");
    begin("b", 1);
    assert.equal(shortage.mayPass(call), false);
    const inactive = createBench({ isActive: false });
    ["a", "b"].forEach(targetId => {
        inactive.report(targetId);
        inactive.begin(targetId, 10);
    });
    assert.equal(inactive.shortage.mayPass(inactive.call), true);
});

test("starts a waiting call when another one ends, and not for the room of a suspected target", async () => {
    const { clock, shortage, distrusted, call, begin, report } = createBench();
    ["a", "b"].forEach(targetId => report(targetId));
    const [first] = begin("a", 3);
    distrusted.add("b");
    assert.equal(shortage.mayPass(call), false);
    const waiting = shortage.wait(call);
    await clock.advance(100);
    assert.equal(shortage.countWaiting(), 1);
    first?.end();
    shortage.recordEnd(service, 100);
    assert.deepEqual(await waiting, { result: QueueResult.Started });
});

test("a caller that leaves gives up its place", async () => {
    const { shortage, caller, call, begin, report } = createBench();
    ["a", "b"].forEach(targetId => {
        report(targetId);
        begin(targetId, 3);
    });
    const waiting = shortage.wait(call);
    caller.abort();
    assert.deepEqual(await waiting, { result: QueueResult.Left });
    assert.equal(shortage.countWaiting(), 0);
});

// Guards against a call that waits for a target of which no report comes any more.
test("judges waiting calls again while nothing ends", async () => {
    const { clock, shortage, call, begin, report } = createBench();
    ["a", "b"].forEach(targetId => {
        report(targetId);
        begin(targetId, 3);
    });
    const waiting = shortage.wait({ ...call, deadline: clock.monotonicNow() + 700 });
    await clock.advance(300);
    const { result, retryAt = 0 } = await waiting;
    assert.equal(result, QueueResult.Refused);
    assert.ok(retryAt > clock.monotonicNow() - 300);
});

import { EventKind, FakeClock, MemoryEventLog } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createTargetLimits } from "../createTargetLimits.js";

function createScene() {
    const clock = new FakeClock();
    const eventLog = new MemoryEventLog();
    return { clock, eventLog, limits: createTargetLimits(clock, eventLog) };
}

// Guards against a limit that ends with the answer to a call that was under way when it was named.
test("a limit ends by answers without one some time after it was last named", async () => {
    const { clock, eventLog, limits } = createScene();
    limits.record("t", 10.5);
    limits.record("t", undefined);
    assert.equal(limits.find("t"), 10.5);
    await clock.advance(3_000);
    limits.record("t", 10.5);
    await clock.advance(3_000);
    limits.record("t", undefined);
    assert.equal(limits.find("t"), 10.5);
    await clock.advance(1_100);
    assert.equal(limits.find("t"), 10.5, "without an answer, nothing tells that it has ended");
    limits.record("t", undefined);
    assert.equal(limits.find("t"), undefined);
    assert.equal(eventLog.of(EventKind.TargetLimited).length, 1);
    assert.equal(eventLog.of(EventKind.TargetUnlimited).length, 1);
});

test("a changed limit is logged, an unreadable one changes nothing and is logged once", () => {
    const { eventLog, limits } = createScene();
    [10, 10, 0, NaN, NaN].forEach(limit => limits.record("t", limit));
    assert.equal(limits.find("t"), 0);
    assert.deepEqual(eventLog.of(EventKind.TargetLimited).map(({ fields }) => fields["limit"]), [10, 0]);
    assert.equal(eventLog.of(EventKind.Fault).length, 1);
    limits.forget("t");
    assert.equal(limits.find("t"), undefined);
});

// Guards against a process that sends without tokens until its own first answer, and against an outdated announcement that revives a limit.
test("a limit that another process has seen holds, unless it is older than what is known", async () => {
    const { clock, limits } = createScene();
    await clock.advance(10_000);
    limits.recordRemote("t", 10, 1_000);
    assert.deepEqual(limits.findNamed("t"), { limit: 10, namedAt: clock.monotonicNow() - 1_000 });
    limits.recordRemote("t", 20, 2_000);
    assert.equal(limits.find("t"), 10);
    limits.recordRemote("other", 20, 5_000);
    assert.equal(limits.find("other"), undefined, "it may have ended since");
});

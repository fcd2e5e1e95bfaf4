import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeClock } from "../../time/fakeClock.js";
import { createBoundedEventLog } from "../boundedEventLog.js";
import { EventKind, MemoryEventLog } from "../eventLog.js";

const bounds = { linesPerSecond: 10, burst: 20, reserved: 5 };

test("many request events leave the reserve for other events, and dropped lines are reported", async () => {
    const clock = new FakeClock();
    const inner = new MemoryEventLog();
    const log = createBoundedEventLog(inner, clock, bounds);
    for (let index = 0; index < 100; index++) {
        log.record(EventKind.RequestRefused, { request: `r${index}` });
    }
    assert.equal(inner.of(EventKind.RequestRefused).length, 15);
    log.record(EventKind.TargetGone, { target: "t" });
    assert.equal(inner.of(EventKind.TargetGone).length, 1);
    assert.equal(inner.of(EventKind.LogLinesDropped)[0]?.fields["lines"], 85);
    await clock.advance(1_000);
    for (let index = 0; index < 100; index++) {
        log.record(EventKind.RequestRefused, { request: `s${index}` });
    }
    assert.equal(inner.of(EventKind.RequestRefused).length, 24);
});

import assert from "node:assert/strict";
import { test } from "node:test";
import { SystemClock } from "../clock.js";

const turnMilliseconds = 50;
const sleepCount = 200;

// Guards against waits that end up to 2 ms before their deadline, so that what follows runs too early.
test("a sleep of the system's clock never ends before its deadline", async () => {
    const clock = new SystemClock();
    for (let index = 0; index < sleepCount; index++) {
        const deadline = clock.monotonicNow() + 1 + index / sleepCount;
        await clock.sleepUntil(deadline);
        const early = deadline - clock.monotonicNow();
        assert.ok(early <= 0, `${early} ms early`);
    }
});

test("a sleep without end lasts until it is interrupted, and one that is over already lets other tasks run", async () => {
    const clock = new SystemClock();
    const stop = new AbortController();
    const endless = clock.sleepUntil(Infinity, stop.signal).then(() => stop.signal.aborted);
    let hasRun = false;
    setImmediate(() => {
        hasRun = true;
    });
    await clock.sleepUntil(clock.monotonicNow() - 1);
    assert.ok(hasRun);
    await clock.sleepUntil(clock.monotonicNow() + turnMilliseconds);
    stop.abort();
    assert.equal(await endless, true);
});

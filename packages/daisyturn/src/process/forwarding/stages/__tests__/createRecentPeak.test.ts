import { FakeClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createRecentPeak } from "../createRecentPeak.js";

test("returns the maximum within the window and ignores older values", async () => {
    const clock = new FakeClock();
    const peak = createRecentPeak(clock, 1_000);
    assert.equal(peak.max(), 0);
    peak.record(5);
    await clock.advance(600);
    peak.record(2);
    await clock.advance(200);
    peak.record(3);
    assert.equal(peak.max(), 5);
    await clock.advance(300);
    assert.equal(peak.max(), 3);
    await clock.advance(1_000);
    assert.equal(peak.max(), 0);
});

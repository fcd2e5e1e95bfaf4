import { EventKind, FakeClock, MemoryEventLog } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createSizeCounts } from "../createSizeCounts.js";
import { reportSizeCounts } from "../reportSizeCounts.js";

test("prompts are counted by route and size, and each is drained once", () => {
    const counts = createSizeCounts();
    counts.record("long", 17_000, true);
    counts.record("long", 17_001, false);
    counts.record("long", 60_000, false);
    counts.record("short", 300, true);
    assert.deepEqual(
        counts.drain().map(({ route, served, ended }) => [route, served, ended]),
        [["long", 1, 2], ["long", 0, 1], ["short", 1, 1]],
    );
    assert.deepEqual(counts.drain(), []);
});

test("a size class contains no prompt below its least size or more than a quarter above it", () => {
    const counts = createSizeCounts();
    for (const tokens of [1, 2, 3, 511, 512, 513, 16_384, 100_000]) {
        counts.record("route", tokens, true);
        const [count] = counts.drain();
        assert.ok(count && count.leastSize <= tokens && tokens < count.leastSize * 1.25 + 1, JSON.stringify(count));
    }
});

test("the counts of each route are logged in one line, and nothing is logged if no prompt has ended", async () => {
    const clock = new FakeClock();
    const eventLog = new MemoryEventLog();
    const sizeCounts = createSizeCounts();
    const stop = new AbortController();
    void reportSizeCounts({ sizeCounts, clock, eventLog }, stop.signal);
    await clock.advance(2_500);
    assert.equal(eventLog.events.length, 0);
    sizeCounts.record("long", 16_384, true);
    sizeCounts.record("long", 32_768, false);
    await clock.advance(2_500);
    assert.deepEqual(eventLog.events.map(({ kind, fields }) => [kind, fields]), [
        [EventKind.PromptsBySize, { route: "long", sizes: "16384:1/1,32768:0/1" }],
    ]);
    stop.abort();
});

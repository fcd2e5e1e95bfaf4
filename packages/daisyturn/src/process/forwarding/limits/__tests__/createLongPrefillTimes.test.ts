import assert from "node:assert/strict";
import { test } from "node:test";
import { createLongPrefillTimes } from "../createLongPrefillTimes.js";

test("the long prefill time of a route covers 95 percent of the recent prompts", () => {
    const times = createLongPrefillTimes();
    assert.equal(times.find("ask"), 0);
    for (let milliseconds = 1; milliseconds <= 100; milliseconds++) {
        times.record("ask", milliseconds);
    }
    assert.equal(times.find("ask"), 95);
    assert.equal(times.find("chat"), 0);
    for (let count = 0; count < 200; count++) {
        times.record("ask", 20);
    }
    assert.equal(times.find("ask"), 20);
});

test("the number of tracked routes is bounded", () => {
    const times = createLongPrefillTimes();
    for (let number = 0; number < 1_000; number++) {
        times.record(`route-${number}`, 5);
    }
    assert.equal(times.find("route-0"), 0);
    assert.equal(times.find("route-999"), 5);
});

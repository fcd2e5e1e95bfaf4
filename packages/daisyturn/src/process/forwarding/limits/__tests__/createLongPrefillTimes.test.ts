import assert from "node:assert/strict";
import { test } from "node:test";
import { createLongPrefillTimes } from "../createLongPrefillTimes.js";

test("the long readings of a route cover all but the very longest, and follow what came last", () => {
    const readings = createLongPrefillTimes();
    assert.equal(readings.find("ask"), 0);
    for (let milliseconds = 1; milliseconds <= 100; milliseconds++) {
        readings.record("ask", milliseconds);
    }
    assert.equal(readings.find("ask"), 95);
    assert.equal(readings.find("chat"), 0);
    for (let count = 0; count < 200; count++) {
        readings.record("ask", 20);
    }
    assert.equal(readings.find("ask"), 20);
});

test("a storm of routes does not grow the readings without end", () => {
    const readings = createLongPrefillTimes();
    for (let number = 0; number < 1_000; number++) {
        readings.record(`route-${number}`, 5);
    }
    assert.equal(readings.find("route-0"), 0);
    assert.equal(readings.find("route-999"), 5);
});

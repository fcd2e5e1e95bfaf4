import assert from "node:assert/strict";
import { test } from "node:test";
import { createDroppedTime } from "../createDroppedTime.js";

const batchCount = 10;
const batchSize = 32;
const datagramMilliseconds = 0.01;
const workMilliseconds = 5;

// Guards against work of calls that is taken for the time of dropped datagrams, so that an overload is not seen.
test("the time between batches of datagrams is not counted as theirs", () => {
    let now = 0;
    const dropped = createDroppedTime(() => now);
    for (let batch = 0; batch < batchCount; batch++) {
        now += workMilliseconds;
        for (let index = 0; index < batchSize; index++) {
            now += datagramMilliseconds;
            dropped.record();
        }
    }
    const expected = batchCount * (batchSize - 1) * datagramMilliseconds;
    assert.ok(Math.abs(dropped.milliseconds() - expected) < datagramMilliseconds, `${dropped.milliseconds()} ms`);
});

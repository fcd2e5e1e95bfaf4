import assert from "node:assert/strict";
import { test } from "node:test";
import { createRunDurations } from "../createRunDurations.js";

function recordCalls(count: number, milliseconds: number, time: number, durations = createRunDurations()) {
    for (let index = 0; index < count; index++) {
        durations.record("look", milliseconds, time);
    }
    return durations;
}

// Guards against a forecast from too few calls, by which a stopping process takes calls that it then cuts.
test("tells nothing of a route with few calls, or with none", () => {
    const durations = recordCalls(49, 20, 1_000);
    assert.equal(durations.longest("look", 1_000), undefined);
    assert.equal(recordCalls(1, 30, 1_000, durations).longest("look", 1_000), 30);
    assert.equal(durations.longest("buy", 1_000), undefined);
});

// Guards against one long call that refuses all calls of its route from then on, and against forgetting it at once.
test("counts a call for at least a minute and two at most", () => {
    const durations = recordCalls(50, 9_000, 1_000);
    recordCalls(50, 20, 2_000, durations);
    assert.equal(durations.longest("look", 61_500), 9_000);
    recordCalls(50, 20, 61_500, durations);
    assert.equal(durations.longest("look", 121_400), 9_000);
    assert.equal(durations.longest("look", 121_600), 20);
    assert.equal(durations.longest("look", 300_000), undefined);
});

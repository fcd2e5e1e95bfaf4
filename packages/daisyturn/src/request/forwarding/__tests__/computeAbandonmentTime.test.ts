import assert from "node:assert/strict";
import { test } from "node:test";
import { type CallTiming, computeAbandonmentTime } from "../computeAbandonmentTime.js";

function createCall(latencyAimMilliseconds: number, deadline: number): CallTiming {
    return { call: { arrivedAt: 1_000 }, route: { latencyAimMilliseconds }, deadline };
}

test("callers wait two seconds, or four times the aim if that is longer, and never beyond the deadline", () => {
    assert.equal(computeAbandonmentTime(createCall(250, 9_000)), 3_000);
    assert.equal(computeAbandonmentTime(createCall(600, 9_000)), 3_400);
    assert.equal(computeAbandonmentTime(createCall(600, 2_200)), 2_200);
});

/**
 * Seen: on a route that allows long pauses, callers who would have waited on were refused as if they had left.
 * Cause: the bound knew two of the three times of which the longest counts; eight allowed pauses was missing.
 * Proof: a caller of a route with pauses of 600 ms waits for 4.8 s.
 */
test("callers who bear long pauses wait for eight of them", () => {
    const { call, deadline } = createCall(600, 9_000);
    const route = { latencyAimMilliseconds: 600, pauseAimMilliseconds: 600 };
    assert.equal(computeAbandonmentTime({ call, route, deadline }), 5_800);
    const shortPauses = { ...route, pauseAimMilliseconds: 150 };
    assert.equal(computeAbandonmentTime({ call, route: shortPauses, deadline }), 3_400);
});

import assert from "node:assert/strict";
import { test } from "node:test";
import { type CallTiming, computeAbandonmentTime } from "../computeAbandonmentTime.js";

function createCall(latencyAimMilliseconds: number, deadline: number): CallTiming {
    return { call: { arrivedAt: 1_000 }, route: { latencyAimMilliseconds }, deadline };
}

test("callers wait two seconds, or four times the target latency if longer, and never beyond the deadline", () => {
    assert.equal(computeAbandonmentTime(createCall(250, 9_000)), 3_000);
    assert.equal(computeAbandonmentTime(createCall(600, 9_000)), 3_400);
    assert.equal(computeAbandonmentTime(createCall(600, 2_200)), 2_200);
});

/**
 * Guards against refusing callers that would still wait, on a route that allows long pauses. This happened when the
 * bound took the longest of only two times and ignored the third, eight allowed pauses: with pauses of 600 ms, a caller
 * waits for 4.8 s.
 */
test("callers of a route with long allowed pauses wait for eight of them", () => {
    const { call, deadline } = createCall(600, 9_000);
    const route = { latencyAimMilliseconds: 600, pauseAimMilliseconds: 600 };
    assert.equal(computeAbandonmentTime({ call, route, deadline }), 5_800);
    const shortPauses = { ...route, pauseAimMilliseconds: 150 };
    assert.equal(computeAbandonmentTime({ call, route: shortPauses, deadline }), 3_400);
});

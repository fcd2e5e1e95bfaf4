import assert from "node:assert/strict";
import { test } from "node:test";
import { findLateness, type JudgedCall } from "../findLateness.js";

function createCall(latencyAimMilliseconds: number, deadline: number): JudgedCall {
    return { call: { arrivedAt: 1_000 }, route: { latencyAimMilliseconds }, deadline };
}

test("callers wait two seconds, or four times the aim if that is longer, and never beyond the deadline", () => {
    assert.equal(findLateness(3_000, createCall(250, 9_000)), 0);
    assert.equal(findLateness(3_001, createCall(250, 9_000)), 1);
    assert.equal(findLateness(3_400, createCall(600, 9_000)), 0);
    assert.equal(findLateness(3_500, createCall(600, 9_000)), 100);
    assert.equal(findLateness(2_500, createCall(600, 2_200)), 300);
});

import { EventKind, MemoryEventLog } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createRequestTrace } from "../requestTrace.js";

test("the last line of a call contains the fields that explain its outcome", () => {
    const eventLog = new MemoryEventLog();
    const trace = createRequestTrace({ eventLog, sampledCalls: 64, callId: "a", arrivedAt: 100, now: () => 105 });
    trace.addSummaryFields({ tokens: 30_000, begins: 2_900, patience: 2_400 });
    trace.record(EventKind.RequestPlaced, { target: "i-1" });
    trace.addSummaryFields({ begins: 2_600 });
    trace.recordEnd(EventKind.RequestRefused, { reason: "deadline_unreachable" });
    trace.end(false);
    assert.deepEqual(eventLog.events.map(({ fields }) => fields), [
        { request: "a", after: 5, target: "i-1" },
        { request: "a", after: 5, reason: "deadline_unreachable", tokens: 30_000, begins: 2_600, patience: 2_400 },
    ]);
});

import { EventKind, FakeClock, MemoryEventLog } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ArrivalResult, createArrivalCounts, SendPart } from "../limits/createArrivalCounts.js";
import { reportArrivals } from "../reportArrivals.js";

// Guards against repeats and denied retries that leave no line in the log, because their calls are not sampled.
test("repeats and denied retries are logged by service, part and result", async () => {
    const clock = new FakeClock();
    const eventLog = new MemoryEventLog();
    const arrivalCounts = createArrivalCounts();
    const stop = new AbortController();
    const budget = { status: () => ({ left: 1.5, limit: 7.2, leased: 1, lent: 3 }) };
    void reportArrivals({ arrivalCounts, budget, clock, eventLog }, stop.signal);
    const record = (part: SendPart, result: ArrivalResult, isRepeat: boolean) =>
        arrivalCounts.recordArrival({ service: "engines", part, result, isRepeat });
    arrivalCounts.recordRequest("calm");
    arrivalCounts.recordRequest("engines");
    record(SendPart.Prefill, ArrivalResult.Answered, false);
    record(SendPart.Decode, ArrivalResult.Refused, false);
    record(SendPart.Whole, ArrivalResult.Answered, true);
    arrivalCounts.recordRetry("engines", true);
    arrivalCounts.recordRetry("engines", false);
    await clock.advance(2_000);
    await clock.advance(2_000);
    stop.abort();
    assert.deepEqual(eventLog.of(EventKind.ArrivalsRepeated).map(({ fields }) => fields), [{
        service: "engines",
        left: 1,
        limit: 7,
        leased: 1,
        lent: 3,
        requests: 1,
        arrivals: 3,
        repeats: "whole:answered:1",
        retriesAcquired: 1,
        retriesDenied: 1,
    }]);
});

import assert from "node:assert/strict";
import { test } from "node:test";
import type { TimedEvent } from "../../timeLine/index.js";
import { collectCalls, summarizeCalls } from "../index.js";

function event(kind: string, fields: Record<string, string>): TimedEvent {
    return { stamp: "", at: 0, kind, process: "p", incarnation: "i", fields, source: "log", line: 1 };
}

/** Returns the log lines of a prompt whose prefill took `prefillMilliseconds`. */
function describeCall(request: string, prefillMilliseconds: number, outcome: string): TimedEvent[] {
    return [
        event("request_accepted", { request, route: "ask", tokens: "900" }),
        event("request_placed", { request, reader: "r", readerWait: "20", readerWork: "30" }),
        event("request_dispatched", { request, after: "2", part: "prefill" }),
        event("target_answered", { request, after: String(2 + prefillMilliseconds) }),
        event("request_dispatched", { request, after: String(2 + prefillMilliseconds), part: "decode" }),
        event("target_answered", { request, after: "900" }),
        event("request_answered", {
            request,
            outcome,
            firstByte: String(prefillMilliseconds + 30),
            longestPause: "80",
        }),
    ];
}

async function* listEvents(events: readonly TimedEvent[]) {
    yield* events;
}

test("summarizes calls by route and outcome, with the prefill time and its forecast", async () => {
    const events = [
        ...describeCall("a", 100, "on_time"),
        ...describeCall("b", 400, "late"),
        ...describeCall("c", 300, "late"),
        ...describeCall("d", 900, "late"),
        event("request_accepted", { request: "e", route: "ask", tokens: "50000" }),
        event("request_refused", { request: "e", outcome: "refused", reason: "deadline_unreachable", firstByte: "1" }),
    ];
    const { calls, incomplete } = await collectCalls(listEvents(events));
    assert.equal(incomplete, 0);
    const times = { tokens: 900, longestPause: 80, forecastReading: 50 };
    assert.deepEqual(summarizeCalls(calls), [
        { route: "ask", outcome: "late", calls: 3, firstByte: 430, reading: 400, ...times },
        { route: "ask", outcome: "on_time", calls: 1, firstByte: 130, reading: 100, ...times },
        {
            route: "ask",
            outcome: "refused: deadline_unreachable",
            calls: 1,
            tokens: 50_000,
            firstByte: 1,
            longestPause: undefined,
            reading: undefined,
            forecastReading: undefined,
        },
    ]);
});

test("counts calls without their first or last line as incomplete, and does not mix them up with others", async () => {
    const [first, ...others] = describeCall("a", 100, "on_time");
    assert.ok(first);
    const { calls, incomplete } = await collectCalls(
        listEvents([...others, ...describeCall("b", 1, "late").slice(0, -1)]),
    );
    assert.deepEqual([calls.length, incomplete], [0, 2]);
});

test("skips lines that belong to no call", async () => {
    const { calls } = await collectCalls(listEvents([event("target_gone", { target: "t" })]));
    assert.deepEqual(summarizeCalls(calls), []);
});

import assert from "node:assert/strict";
import { test } from "node:test";
import type { TimedEvent } from "../../timeLine/index.js";
import { sumSizes } from "../index.js";

function event(kind: string, fields: Record<string, string>): TimedEvent {
    return { stamp: "", at: 0, kind, process: "p", incarnation: "i", fields, source: "log", line: 1 };
}

async function* listEvents(events: readonly TimedEvent[]) {
    yield* events;
}

test("sums the counts of all processes and compares the served share of each part with that of all", async () => {
    const rows = await sumSizes(listEvents([
        event("prompts_by_size", { route: "ask", sizes: "512:40/40,4096:20/25" }),
        event("prompts_by_size", { route: "ask", sizes: "512:20/20,8192:5/5,32768:1/10" }),
        event("request_answered", { request: "a", outcome: "late" }),
    ]));
    assert.deepEqual(rows.map(({ part, ended, served }) => [part, ended, served]), [
        ["all", 100, 86],
        ["smallest half", 50, 50],
        ["next fifth", 20, 18],
        ["fifth below the largest tenth", 20, 17],
        ["largest tenth", 10, 1],
    ]);
    const largest = rows.at(-1)?.ratio ?? 0;
    assert.ok(Math.abs(largest - 0.1 / 0.86) < 1e-9, String(largest));
});

test("returns no ratio for a route without a served prompt, and skips invalid sizes", async () => {
    const rows = await sumSizes(listEvents([event("prompts_by_size", { route: "ask", sizes: "512:0/2,what" })]));
    assert.deepEqual(rows.map(({ ended, ratio }) => [ended, ratio]), [
        [2, undefined],
        [1, undefined],
        [
            0,
            undefined,
        ],
        [0, undefined],
        [0, undefined],
    ]);
});

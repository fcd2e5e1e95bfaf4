import assert from "node:assert/strict";
import { test } from "node:test";
import type { TimedEvent } from "../../timeLine/index.js";
import { collectDuties } from "../index.js";

function event(process: string, kind: string, fields: Record<string, string>): TimedEvent {
    return { stamp: "", at: 0, kind, process, incarnation: `${process}-1`, fields, source: "log", line: 1 };
}

async function* listEvents(events: readonly TimedEvent[]) {
    yield* events;
}

const report = (process: string, window: string, answer: string) =>
    event(process, "usage_reported", { window, accounts: "2", total: "9", answer });

// Guards against the holder of another lease being shown, and against a window that seems lost after it was sent again.
test("names the holder of the duties and the last answer for each window", async () => {
    const { holder, reports } = await collectDuties(listEvents([
        event("a", "lease_acquired", { lease: "duties" }),
        report("a", "8", "unknown"),
        event("c", "lease_acquired", { lease: "stages" }),
        event("b", "lease_acquired", { lease: "duties" }),
        event("a", "lease_lost", { lease: "duties" }),
        report("b", "8", "accepted"),
        report("b", "7", "unknown"),
    ]));
    assert.equal(holder, "b");
    assert.deepEqual(reports.map(row => [row.window, row.holder, row.sends, row.answer]), [
        [7, "b", 1, "unknown"],
        [8, "b", 2, "accepted"],
    ]);
});

test("names no holder after the lease was lost", async () => {
    const events = [event("a", "lease_acquired", { lease: "duties" }), event("a", "lease_lost", { lease: "duties" })];
    assert.equal((await collectDuties(listEvents(events))).holder, undefined);
});

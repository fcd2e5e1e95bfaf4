import { FakeClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createTableReader } from "../createTableReader.js";

function page(version: number, ...keys: string[]) {
    const rows = keys.map(key => ({ key, version, text: "1" }));
    return { rows, position: { era: 1, version }, isHistoryLost: false };
}

// Guards against members that skip a change: they had not received its rows from the coordinator that ended, and the
// process that took over reported an older version as that of the last change.
test("a process that takes over reports the last change that was relayed to it", () => {
    const reader = createTableReader(new FakeClock());
    reader.recordAnswer("t", page(5, "a"), undefined);
    reader.recordRelayed("t", page(8, "b"));
    reader.recordRelayed("t", page(10));
    reader.recordAnswer("t", page(12), { era: 1, version: 10 });
    assert.deepEqual(reader.listStates(), [{ table: "t", era: 1, changedVersion: 8, version: 12, age: 0 }]);
});

// Guards against a coordinator that keeps the lease's work although the store does not answer it, because others relay.
test("the store is lost for a process that fails to read it, whatever is relayed, and not for one that follows", async () => {
    const clock = new FakeClock();
    const reader = createTableReader(clock);
    reader.recordAnswer("t", page(5, "a"), undefined);
    reader.recordFailure("t");
    await clock.advance(1_600);
    reader.recordRelayed("t", page(8, "b"));
    assert.equal(reader.isLost(), true);
    reader.recordFollowed("t");
    assert.equal(reader.isLost(), false);
});

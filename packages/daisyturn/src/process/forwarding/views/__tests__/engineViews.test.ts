import { FakeClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createEventIntervals } from "../createEventIntervals.js";
import { createPeerLoads } from "../createPeerLoads.js";

describe("event intervals", () => {
    it("adapt quickly to shorter pauses, and hardly to pauses of a delayed answer", () => {
        const intervals = createEventIntervals();
        for (let answer = 0; answer < 20; answer++) {
            intervals.observe("s", 30);
        }
        assert.ok(intervals.interval("s") < 31);
        intervals.observe("s", 300);
        assert.ok(intervals.interval("s") < 40);
    });

    it("are separate for each service", () => {
        const intervals = createEventIntervals();
        const before = intervals.interval("t");
        intervals.observe("s", 5);
        assert.equal(intervals.interval("t"), before);
    });
});

describe("loads of peers", () => {
    const createWork = (targetId: string, calls: number, tokens: number) => ({
        targetId,
        calls,
        work: calls * 10,
        deferredWork: 0,
        tokens,
    });

    it("are summed by target, replaced by each message and removed once they expire", async () => {
        const clock = new FakeClock();
        const loads = createPeerLoads(clock);
        const sum = (targetId: string) => {
            const { calls, work, tokens } = loads.sum(targetId) ?? {};
            return [calls, work, tokens];
        };
        assert.equal(loads.sum("a"), undefined);
        loads.record("p", [createWork("a", 2, 10)], 1_000);
        loads.record("q", [createWork("a", 3, 5), createWork("b", 1, 1)], 3_000);
        assert.deepEqual(sum("a"), [5, 50, 15]);
        loads.record("p", [createWork("b", 4, 0)], 1_500);
        assert.deepEqual([sum("a"), sum("b")], [[3, 30, 5], [5, 50, 1]]);
        await clock.advance(2_000);
        assert.deepEqual(sum("b"), [1, 10, 1]);
        await clock.advance(2_000);
        assert.equal(loads.sum("b"), undefined);
    });
});

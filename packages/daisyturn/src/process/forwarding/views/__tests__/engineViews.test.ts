import { FakeClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createEventIntervals } from "../createEventIntervals.js";
import { createPeerLoads } from "../createPeerLoads.js";

describe("the pace of events", () => {
    it("falls quickly to what an engine can, and hardly rises with what held an answer up", () => {
        const pace = createEventIntervals();
        for (let answer = 0; answer < 20; answer++) {
            pace.observe("s", 30);
        }
        assert.ok(pace.interval("s") < 31);
        pace.observe("s", 300);
        assert.ok(pace.interval("s") < 40);
    });

    it("says nothing of another service", () => {
        const pace = createEventIntervals();
        const before = pace.interval("t");
        pace.observe("s", 5);
        assert.equal(pace.interval("t"), before);
    });
});

describe("what peers have under way", () => {
    const told = (targetId: string, calls: number, tokens: number) => ({
        targetId,
        calls,
        work: calls * 10,
        deferredWork: 0,
        tokens,
    });

    it("is summed by target, replaced by each message and forgotten with its peer", async () => {
        const clock = new FakeClock();
        const peers = createPeerLoads(clock);
        const sum = (targetId: string) => {
            const { calls, work, tokens } = peers.sum(targetId) ?? {};
            return [calls, work, tokens];
        };
        assert.equal(peers.sum("a"), undefined);
        peers.record("p", [told("a", 2, 10)], 1_000);
        peers.record("q", [told("a", 3, 5), told("b", 1, 1)], 3_000);
        assert.deepEqual(sum("a"), [5, 50, 15]);
        peers.record("p", [told("b", 4, 0)], 1_500);
        assert.deepEqual([sum("a"), sum("b")], [[3, 30, 5], [5, 50, 1]]);
        await clock.advance(2_000);
        assert.deepEqual(sum("b"), [1, 10, 1]);
        await clock.advance(2_000);
        assert.equal(peers.sum("b"), undefined);
    });
});

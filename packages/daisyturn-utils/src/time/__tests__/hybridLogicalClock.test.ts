import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createHybridLogicalClock, FakeClock } from "../../index.js";

describe("createHybridLogicalClock", () => {
    it("creates stamps that sort after all observed ones, even if the wall clock jumps back", () => {
        const clock = new FakeClock();
        const hybrid = createHybridLogicalClock(clock);
        const first = hybrid.stamp();
        clock.jumpWall(-60_000);
        const second = hybrid.stamp();
        assert.ok(second > first);
    });

    it("sorts after a remote stamp from a clock that is ahead", () => {
        const ahead = new FakeClock();
        ahead.jumpWall(5_000);
        const remote = createHybridLogicalClock(ahead).stamp();
        const hybrid = createHybridLogicalClock(new FakeClock());
        hybrid.observe(remote);
        assert.ok(hybrid.stamp() > remote);
    });
});

import { FakeClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createStoreBudget, maxSkips } from "../storeBudget.js";
import { StorePriority } from "../storeClient.js";

const farDeadline = 1_000_000;

/** A budget of 10 calls per second without accumulated tokens. */
function createEmptyBudget() {
    const clock = new FakeClock();
    const budget = createStoreBudget({ clock, callsPerSecond: 10 });
    budget.drain();
    const grants: string[] = [];
    /** Queues a call, and records in `grants` whether it was granted. */
    const line = (priority: StorePriority, deadline = farDeadline) => {
        void budget.acquire(priority, deadline).then(granted => grants.push(`${priority}:${granted}`));
    };
    return { clock, budget, grants, line };
}

describe("createStoreBudget", () => {
    it("serves leases before claims and claims before the rest", async () => {
        const { clock, grants, line } = createEmptyBudget();
        line(StorePriority.Other);
        line(StorePriority.Claim);
        line(StorePriority.Lease);
        await clock.advance(300);
        assert.deepEqual(grants, ["lease:true", "claim:true", "other:true"]);
    });

    it("skips a waiting call at most a fixed number of times", async () => {
        const { clock, grants, line } = createEmptyBudget();
        line(StorePriority.Other);
        line(StorePriority.Claim);
        for (let count = 0; count < 30; count++) {
            line(StorePriority.Lease);
        }
        await clock.advance(3_200);
        const positions = [grants.indexOf("claim:true"), grants.indexOf("other:true")].sort((one, other) =>
            one - other
        );
        assert.deepEqual(positions, [maxSkips, maxSkips + 1]);
        assert.equal(grants.length, 32);
    });

    it("keeps to the rate and accumulates at most the calls of a quarter of a second", async () => {
        const { clock, grants, line } = createEmptyBudget();
        for (let count = 0; count < 100; count++) {
            line(StorePriority.Other);
        }
        await clock.advance(2_000);
        assert.equal(grants.length, 20);
        await clock.advance(8_000);
        assert.equal(grants.length, 100);
        await clock.advance(10_000);
        for (let count = 0; count < 10; count++) {
            line(StorePriority.Other);
        }
        await clock.advance(0);
        assert.equal(grants.length, 102);
    });

    it("rejects a call at its deadline, not at the next grant", async () => {
        const { clock, grants, line } = createEmptyBudget();
        line(StorePriority.Lease);
        await clock.advance(100);
        line(StorePriority.Lease, 120);
        await clock.advance(20);
        assert.deepEqual(grants, ["lease:true", "lease:false"]);
    });
});

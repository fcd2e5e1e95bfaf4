import { FakeClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createStoreBudget, mostPassedOver } from "../storeBudget.js";
import { StorePriority } from "../storeClient.js";

const farDeadline = 1_000_000;

/** A budget of 10 calls a second whose saved-up calls are spent. */
function createSpentBudget() {
    const clock = new FakeClock();
    const budget = createStoreBudget({ clock, callsPerSecond: 10 });
    budget.drain();
    const grants: string[] = [];
    const line = (priority: StorePriority, deadline = farDeadline) => {
        void budget.acquire(priority, deadline).then(granted => grants.push(`${priority}:${granted}`));
    };
    return { clock, budget, grants, line };
}

describe("createStoreBudget", () => {
    it("serves leases before claims and claims before the rest", async () => {
        const { clock, grants, line } = createSpentBudget();
        line(StorePriority.Other);
        line(StorePriority.Claim);
        line(StorePriority.Lease);
        await clock.advance(300);
        assert.deepEqual(grants, ["lease:true", "claim:true", "other:true"]);
    });

    it("passes a waiting call over only so often", async () => {
        const { clock, grants, line } = createSpentBudget();
        line(StorePriority.Other);
        line(StorePriority.Claim);
        for (let count = 0; count < 30; count++) {
            line(StorePriority.Lease);
        }
        await clock.advance(3_200);
        const turns = [grants.indexOf("claim:true"), grants.indexOf("other:true")].sort((one, other) => one - other);
        assert.deepEqual(turns, [mostPassedOver, mostPassedOver + 1]);
        assert.equal(grants.length, 32);
    });

    it("keeps to the rate and saves up a quarter of a second's calls", async () => {
        const { clock, grants, line } = createSpentBudget();
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

    it("refuses at the deadline, not at the next grant", async () => {
        const { clock, grants, line } = createSpentBudget();
        line(StorePriority.Lease);
        await clock.advance(100);
        line(StorePriority.Lease, 120);
        await clock.advance(20);
        assert.deepEqual(grants, ["lease:true", "lease:false"]);
    });
});

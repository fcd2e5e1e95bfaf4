import { TransactionOutcome } from "daisyturn";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { holdLeaseInTurn, planPrefillEngines, writeRowOnce } from "../index.js";

describe("examples", () => {
    it("passes a lease to another process with a greater fencing number", async () => {
        const { first, second } = await holdLeaseInTurn();
        assert.ok(second > first);
    });

    it("commits the first write of a row and rejects the second", async () => {
        assert.deepEqual(await writeRowOnce(), [TransactionOutcome.Committed, TransactionOutcome.Rejected]);
    });

    it("changes the roles of engines for a demand mix that lasts, but not for a short one", () => {
        assert.equal(planPrefillEngines(120_000), 2);
        assert.equal(planPrefillEngines(1_000), 4);
    });
});

import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createMemoryTableService } from "../memoryTableService.js";
import { absentVersion, RejectionCause, TransactionOutcome } from "../tableService.js";

const deadline = 0;

function put(writeId: string, key: string, expectedVersion?: number) {
    const conditions = expectedVersion === undefined ? [] : [{ key, expectedVersion }];
    return { writeId, conditions, writes: [{ key, value: { by: writeId } }] };
}

describe("createMemoryTableService", () => {
    it("writes all rows of a transaction or none, and returns the conflicting rows", async () => {
        const tables = createMemoryTableService();
        await tables.transact(put("w1", "a"), deadline);
        const both = {
            writeId: "w2",
            conditions: [{ key: "a", expectedVersion: 7 }, { key: "gone", expectedVersion: 3 }],
            writes: [{ key: "a", value: 2 }, { key: "b", value: 2 }],
        };
        const answer = await tables.transact(both, deadline);
        assert.equal(answer.outcome, TransactionOutcome.Rejected);
        assert.equal(answer.cause, RejectionCause.ConditionFailed);
        assert.deepEqual(answer.conflicts, [{ key: "a", version: 1, value: { by: "w1" }, writeId: "w1" }]);
        assert.deepEqual((await tables.read(["b"], deadline)).unwrapOr([]), []);
    });

    it("never gives a row a version that it had before it was deleted", async () => {
        const tables = createMemoryTableService();
        await tables.transact(put("w1", "a", absentVersion), deadline);
        await tables.transact({ writeId: "w2", conditions: [], writes: [{ key: "a", value: undefined }] }, deadline);
        const again = await tables.transact(put("w3", "a", absentVersion), deadline);
        assert.equal(again.version, 3);
        assert.equal((await tables.transact(put("w4", "a", 1), deadline)).outcome, TransactionOutcome.Rejected);
    });

    it("lists by prefix, in order, in pages", async () => {
        const tables = createMemoryTableService();
        for (const key of ["p/3", "q/1", "p/1", "p/2", "p"]) {
            await tables.transact(put(`w-${key}`, key), deadline);
        }
        const listKeys = async (limit: number, afterKey?: string) =>
            (await tables.list("p/", limit, afterKey, deadline)).unwrapOr([]).map(row => row.key);
        assert.deepEqual(await listKeys(2), ["p/1", "p/2"]);
        assert.deepEqual(await listKeys(2, "p/2"), ["p/3"]);
    });

    it("does not change stored rows when a caller changes its values", async () => {
        const tables = createMemoryTableService();
        const value = { list: ["one"] };
        await tables.transact({ writeId: "w1", conditions: [], writes: [{ key: "a", value }] }, deadline);
        value.list.push("two");
        assert.deepEqual((await tables.read(["a"], deadline)).unwrapOr([])[0]?.value, { list: ["one"] });
    });
});

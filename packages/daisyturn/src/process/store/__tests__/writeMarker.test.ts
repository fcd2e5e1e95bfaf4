import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { TableFaultKind } from "../../../ports/faultyTableService.js";
import { TransactionOutcome } from "../../../ports/tableService.js";
import { createRows, createStoreSetup, deleteRows } from "../__fixtures__/storeSetup.js";
import { StorePriority } from "../storeClient.js";
import {
    addWriteMarker,
    defaultMarkerRetentionMilliseconds,
    removeOldMarkers,
    writeMarkerKey,
} from "../writeMarker.js";

const deadline = Number.MAX_SAFE_INTEGER;

/** Creates a row, deletes it, and then lets the late first attempt commit. Returns whether the row exists again. */
async function lateAttemptRecreatesRow(isMarked: boolean) {
    const { clock, faulty, client, inner } = createStoreSetup();
    const create = createRows("w1", ["a"]);
    faulty.script(TableFaultKind.CommitLate);
    const answer = client.commit(isMarked ? addWriteMarker(create, 0) : create, StorePriority.Other, deadline);
    await clock.advance(100);
    assert.equal((await answer).outcome, TransactionOutcome.Committed);
    const version = (await inner.read(["a"], deadline)).unwrapOr([])[0]?.version ?? 0;
    await inner.transact(deleteRows("delete", [{ key: "a", expectedVersion: version }]), deadline);
    await faulty.releaseLateCommits();
    return (await inner.read(["a"], deadline)).unwrapOr([]).length > 0;
}

describe("write markers", () => {
    it("prevent a late attempt from recreating a deleted row, unlike a create without a marker", async () => {
        assert.equal(await lateAttemptRecreatesRow(true), false);
        // The documented limitation of a condition that a row is absent.
        assert.equal(await lateAttemptRecreatesRow(false), true);
    });

    it("are removed after the retention period, and not before", async () => {
        const { clock, client, inner } = createStoreSetup();
        const remove = (nextWriteId: () => string) =>
            removeOldMarkers({ storeClient: client, clock, nextWriteId }, deadline);
        for (let count = 0; count < 120; count++) {
            await inner.transact(addWriteMarker(createRows(`w${count}`, []), clock.wallNow()), deadline);
        }
        await clock.advance(defaultMarkerRetentionMilliseconds);
        await inner.transact(addWriteMarker(createRows("young", []), clock.wallNow()), deadline);
        assert.equal((await remove(() => "r1")).unwrapOr(-1), 0);
        await clock.advance(1);
        assert.equal((await remove(() => "r2")).unwrapOr(-1), 120);
        const left = await inner.list("writes/", 10, undefined, deadline);
        assert.deepEqual(left.unwrapOr([]).map(row => row.key), [writeMarkerKey("young")]);
    });
});

import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { TableFaultKind } from "../../../ports/faultyTableService.js";
import { RejectionCause, type Transaction, TransactionOutcome } from "../../../ports/tableService.js";
import { createRows, createStoreSetup, updateRows } from "../__fixtures__/storeSetup.js";
import { StorePriority } from "../storeClient.js";

const deadline = 60_000;

function createIndependent(count: number): Transaction[] {
    return [...Array(count).keys()].map(index => createRows(`w${index}`, [`row${index}`]));
}

function commitAll(setup: ReturnType<typeof createStoreSetup>, transactions: readonly Transaction[]) {
    const { client } = setup;
    return Promise.all(
        transactions.map(transaction => client.commit(transaction, StorePriority.Claim, deadline)),
    );
}

describe("grouping of transactions", () => {
    it("merges concurrent independent transactions, and keeps the write id of each on its rows", async () => {
        const setup = createStoreSetup();
        const answers = await commitAll(setup, createIndependent(32));
        assert.ok(answers.every(answer => answer.outcome === TransactionOutcome.Committed));
        assert.equal(setup.faulty.transactions.length, 2);
        const rows = await setup.inner.read(["row5"], deadline);
        assert.equal(rows.unwrapOr([])[0]?.writeId, "w5");
    });

    it("groups transactions that wait for the rate limit", async () => {
        const setup = createStoreSetup({ writesPerSecond: 1 });
        await commitAll(setup, [createRows("first", ["first"])]);
        const answers = createIndependent(10).map(async (transaction, index) => {
            await setup.clock.sleepUntil(50 * index);
            return setup.client.commit(transaction, StorePriority.Claim, deadline);
        });
        await setup.clock.advance(1_000);
        await Promise.all(answers);
        assert.equal(setup.faulty.transactions.length, 2);
    });

    it("waits for further transactions for the configured grouping time", async () => {
        const setup = createStoreSetup({ groupingMilliseconds: 3 });
        const answers = createIndependent(5).map(async (transaction, index) => {
            await setup.clock.sleepUntil(index);
            return setup.client.commit(transaction, StorePriority.Claim, deadline);
        });
        await setup.clock.advance(10);
        await Promise.all(answers);
        assert.deepEqual(setup.faulty.transactions.map(transaction => transaction.writes.length), [4, 1]);
    });

    it("rejects the member whose condition fails and sends the others alone", async () => {
        const setup = createStoreSetup();
        await setup.inner.transact(createRows("earlier", ["row1"]), deadline);
        const answers = await commitAll(setup, createIndependent(4));
        assert.deepEqual(answers.map(answer => answer.outcome === TransactionOutcome.Committed), [
            true,
            false,
            true,
            true,
        ]);
        assert.equal(answers[1]?.cause, RejectionCause.ConditionFailed);
        assert.deepEqual(answers[1]?.conflicts?.map(row => row.writeId), ["earlier"]);
        assert.equal(setup.faulty.transactions.length, 1 + 3);
    });

    it("sends every member alone if the group was rejected because of an absent row", async () => {
        const setup = createStoreSetup();
        const onAbsentRow = updateRows("stale", [{ key: "gone", expectedVersion: 7 }]);
        const answers = await commitAll(setup, [onAbsentRow, ...createIndependent(2)]);
        assert.deepEqual(answers.map(answer => answer.outcome), [
            TransactionOutcome.Rejected,
            TransactionOutcome.Committed,
            TransactionOutcome.Committed,
        ]);
    });

    it("does not group transactions that write the same row, or expect different versions of a row", async () => {
        const setup = createStoreSetup();
        const fencedBy = (version: number, writeId: string): Transaction => ({
            ...createRows(writeId, [writeId]),
            conditions: [{ key: "fencing", expectedVersion: version }],
        });
        const sameRow = [createRows("w1", ["a"]), createRows("w2", ["a"])];
        const answers = await commitAll(setup, [...sameRow, fencedBy(1, "w3"), fencedBy(0, "w4"), fencedBy(0, "w5")]);
        const committed = answers.map(answer => answer.outcome === TransactionOutcome.Committed);
        // Either of the two transactions that write the same row may commit first.
        assert.deepEqual(committed.slice(0, 2).sort(), [false, true]);
        assert.deepEqual(committed.slice(2), [false, true, true]);
        assert.ok(setup.faulty.transactions.every(transaction => {
            const writtenKeys = transaction.writes.map(write => write.key);
            return new Set(writtenKeys).size === writtenKeys.length;
        }));
    });

    it("rejects each member at its own deadline and sends transactions of leases alone", async () => {
        const setup = createStoreSetup({ writesPerSecond: 1 });
        await commitAll(setup, [createRows("first", ["first"])]);
        const late = setup.client.commit(createRows("late", ["late"]), StorePriority.Other, deadline);
        await setup.clock.advance(1);
        const early = setup.client.commit(createRows("early", ["early"]), StorePriority.Other, 300);
        let rejectedAt: number | undefined;
        void early.then(() => {
            rejectedAt = setup.clock.monotonicNow();
        });
        const leases = ["one", "two"].map(name =>
            setup.client.commit(createRows(name, [name]), StorePriority.Lease, deadline)
        );
        await setup.clock.advance(10_000);
        assert.equal((await early).cause, RejectionCause.Throttled);
        assert.equal(rejectedAt, 300);
        await Promise.all([late, ...leases]);
        const sent = setup.faulty.transactions.map(transaction => transaction.writeId);
        assert.deepEqual(sent, ["first", "one", "two", "late"]);
    });

    it("continues with a member whose deadline is later than that of its group", async () => {
        const setup = createStoreSetup();
        setup.faulty.setDefaultFault(TableFaultKind.BreakBeforeCommit);
        const early = setup.client.commit(createRows("early", ["early"]), StorePriority.Other, 300);
        const late = setup.client.commit(createRows("late", ["late"]), StorePriority.Other, deadline);
        await setup.clock.advance(1_000);
        assert.equal((await early).outcome, TransactionOutcome.Unknown);
        setup.faulty.setDefaultFault(TableFaultKind.None);
        await setup.clock.advance(5_000);
        assert.equal((await late).outcome, TransactionOutcome.Committed);
    });

    it("settles each member of a group whose answer was lost, after another writer overwrote some rows", async () => {
        const setup = createStoreSetup();
        setup.faulty.script(TableFaultKind.BreakAfterCommit);
        const answers = commitAll(setup, createIndependent(3));
        await setup.clock.advance(5);
        const overwrite = updateRows("other", [{ key: "row0", expectedVersion: 1 }]);
        await setup.inner.transact(overwrite, deadline);
        await setup.clock.advance(5_000);
        const outcomes = (await answers).map(answer => answer.outcome);
        assert.deepEqual(outcomes, Array(3).fill(TransactionOutcome.Committed));
    });

    it("sends a transaction that exceeds the size limit of groups alone", async () => {
        const setup = createStoreSetup();
        const large = createRows("large", [...Array(500).keys()].map(index => `large${index}`));
        const answers = await commitAll(setup, [large, ...createIndependent(2)]);
        assert.ok(answers.every(answer => answer.outcome === TransactionOutcome.Committed));
        assert.deepEqual(setup.faulty.transactions.map(transaction => transaction.writes.length), [500, 2]);
    });

    it("rejects the calls with an invalid transaction, alone or in a group", async () => {
        const setup = createStoreSetup();
        const writesTwice = { ...createRows("w1", ["a"]), writes: [{ key: "a", value: 1 }, { key: "a", value: 2 }] };
        await assert.rejects(commitAll(setup, [writesTwice]), /writes a row twice/);
        await assert.rejects(commitAll(setup, [writesTwice, createRows("w2", ["b"])]), /writes a row twice/);
        const [after] = await commitAll(setup, [createRows("w3", ["c"])]);
        assert.equal(after?.outcome, TransactionOutcome.Committed);
    });
});

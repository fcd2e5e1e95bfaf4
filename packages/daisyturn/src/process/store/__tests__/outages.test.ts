import { EventKind, FailureReason } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { TableFaultKind } from "../../../ports/faultyTableService.js";
import { RejectionCause, TransactionOutcome } from "../../../ports/tableService.js";
import { createRows, createStoreSetup } from "../__fixtures__/storeSetup.js";
import { StorePriority } from "../storeClient.js";
import { addWriteMarker } from "../writeMarker.js";

/** Creates a setup whose store has not answered until the breaker opened. One transaction is still pending. */
async function createOutage(fault: TableFaultKind) {
    const setup = createStoreSetup();
    setup.faulty.setDefaultFault(fault);
    const stuck = setup.client.commit(createRows("stuck", ["stuck"]), StorePriority.Claim, 1_000_000);
    await setup.clock.advance(20_000);
    assert.equal(setup.client.isAvailable(), false);
    return { ...setup, stuck };
}

describe("a store client during outages", () => {
    it("does not open its breaker if the store is unresponsive for a short time", async () => {
        const { clock, faulty, client, eventLog } = createStoreSetup();
        faulty.setDefaultFault(TableFaultKind.BreakBeforeCommit);
        const answer = client.commit(createRows("w1", ["a"]), StorePriority.Claim, 60_000);
        await clock.advance(2_500);
        faulty.setDefaultFault(TableFaultKind.None);
        await clock.advance(2_000);
        assert.equal((await answer).outcome, TransactionOutcome.Committed);
        assert.equal(eventLog.of(EventKind.StoreUnavailable).length, 0);
    });

    for (
        const fault of [TableFaultKind.ConnectionRefused, TableFaultKind.LoseAnswer, TableFaultKind.BreakBeforeCommit]
    ) {
        it(`rejects calls immediately while the store is down (${fault}), and resumes once it answers`, async () => {
            const { clock, faulty, client, eventLog, stuck } = await createOutage(fault);
            const callsBefore = faulty.callCount();
            const rejected = await client.commit(createRows("w2", ["b"]), StorePriority.Lease, 1_000_000);
            assert.deepEqual(rejected, { outcome: TransactionOutcome.Rejected, cause: RejectionCause.NotSent });
            assert.equal(faulty.callCount(), callsBefore);
            faulty.setDefaultFault(TableFaultKind.None);
            await clock.advance(9_000);
            assert.equal(client.isAvailable(), true);
            assert.equal(eventLog.of(EventKind.StoreUnavailable).length, 1);
            assert.equal(eventLog.of(EventKind.StoreAvailable).length, 1);
            const { outcome } = await stuck;
            const wasNeverSent = fault === TableFaultKind.ConnectionRefused;
            assert.equal(outcome, wasNeverSent ? TransactionOutcome.Rejected : TransactionOutcome.Committed);
        });
    }

    it("rejects new reads immediately with the time of the next probe, and lets a pending read wait", async () => {
        const { clock, faulty, client } = createStoreSetup();
        faulty.setDefaultFault(TableFaultKind.LoseAnswer);
        const underWay = client.read(["a"], StorePriority.Other, 1_000_000);
        await clock.advance(20_000);
        const rejected = await client.read(["a"], StorePriority.Other, 1_000_000);
        assert.ok(rejected.isErr);
        assert.equal(rejected.error.reason, FailureReason.StoreUnavailable);
        assert.ok((rejected.error.retryAt ?? 0) > clock.wallNow());
        assert.ok((rejected.error.retryAt ?? 0) <= clock.wallNow() + 5_000);
        faulty.setDefaultFault(TableFaultKind.None);
        await clock.advance(13_000);
        assert.ok((await underWay).isOk);
    });

    it("settles a marked transaction even if the store goes down before the abort transaction", async () => {
        const { clock, inner, faulty, client } = createStoreSetup();
        faulty.script(TableFaultKind.BreakBeforeCommit, TableFaultKind.None);
        faulty.setDefaultFault(TableFaultKind.ConnectionRefused);
        const transaction = addWriteMarker(createRows("w1", ["a"]), 0);
        const answer = client.commit(transaction, StorePriority.Claim, 1_000_000);
        await clock.advance(5);
        await inner.transact(createRows("other", ["a"]), 0);
        await clock.advance(20_000);
        assert.equal(client.isAvailable(), false);
        faulty.setDefaultFault(TableFaultKind.None);
        await clock.advance(6_000);
        const { outcome, cause } = await answer;
        assert.deepEqual({ outcome, cause }, {
            outcome: TransactionOutcome.Rejected,
            cause: RejectionCause.ConditionFailed,
        });
    });

    it("probes a store that is down for an hour rarely and with one call at a time", async () => {
        const { clock, faulty } = await createOutage(TableFaultKind.ConnectionRefused);
        const callsBefore = faulty.callCount();
        await clock.advance(3_600_000);
        const probes = faulty.callCount() - callsBefore;
        assert.ok(probes >= 720 && probes <= 1_440, `${probes} probes`);
    });

    it("resumes the pending calls at the steady rate after an outage, leases first", async () => {
        const { clock, faulty, client } = createStoreSetup();
        faulty.setDefaultFault(TableFaultKind.LoseAnswer);
        const outcomes: string[] = [];
        for (let count = 0; count < 200; count++) {
            // All transactions write the same row, so that none can be grouped.
            const transaction = createRows(`w${count}`, ["shared", `row${count}`]);
            const answer = client.commit(transaction, StorePriority.Other, 2_000_000);
            void answer.then(() => outcomes.push("other"));
        }
        await clock.advance(20_000);
        assert.equal(client.isAvailable(), false);
        const countSent = () => faulty.transactions.filter(({ writes }) => writes.length > 0).length;
        const sentBefore = countSent();
        outcomes.length = 0;
        faulty.setDefaultFault(TableFaultKind.None);
        for (let step = 0; step < 10_000 && !client.isAvailable(); step++) {
            await clock.advance(1);
        }
        const lease = client.commit(createRows("lease", ["lease"]), StorePriority.Lease, 2_000_000);
        void lease.then(() => outcomes.push("lease"));
        await clock.advance(1_000);
        assert.ok(outcomes.indexOf("lease") >= 0 && outcomes.indexOf("lease") <= 1, outcomes.join());
        const sent = countSent() - sentBefore;
        assert.ok(sent >= 39 && sent <= 41, `${sent} transactions in the first second`);
    });

    it("waits for a slow store instead of repeating calls", async () => {
        const { clock, faulty, client, eventLog } = createStoreSetup();
        faulty.setDefaultFault({ kind: TableFaultKind.Delayed, delayMilliseconds: 3_000 });
        const first = client.commit(createRows("w0", ["r0"]), StorePriority.Claim, 60_000);
        await clock.advance(30_000);
        assert.equal((await first).outcome, TransactionOutcome.Committed);
        const callsBefore = faulty.callCount();
        for (let count = 1; count <= 20; count++) {
            const answer = client.commit(createRows(`w${count}`, [`r${count}`]), StorePriority.Claim, 1_000_000);
            await clock.advance(5_000);
            assert.equal((await answer).outcome, TransactionOutcome.Committed);
        }
        assert.equal(faulty.callCount() - callsBefore, 20);
        assert.equal(eventLog.of(EventKind.StoreUnavailable).length, 0);
    });

    it("keeps reads available while only writes are unanswered", async () => {
        const { clock, faulty, client } = createStoreSetup();
        faulty.setDefaultFault(TableFaultKind.BreakBeforeCommit);
        void client.commit(createRows("w1", ["a"]), StorePriority.Claim, 1_000_000);
        await clock.advance(20_000);
        assert.equal(client.isAvailable(), false);
        faulty.setDefaultFault(TableFaultKind.None);
        assert.ok((await client.read(["a"], StorePriority.Other, 1_000_000)).isOk);
    });
});

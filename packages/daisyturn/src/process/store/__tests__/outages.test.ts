import { EventKind, FailureReason } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { TableFaultKind } from "../../../ports/faultyTableService.js";
import { RejectionCause, TransactionOutcome } from "../../../ports/tableService.js";
import { createRows, createStoreSetup } from "../__fixtures__/storeSetup.js";
import { StorePriority } from "../storeClient.js";
import { addWriteMarker } from "../writeMarker.js";

/** A setup whose store has been silent until the breaker opened; one transaction is stuck in it. */
async function createOutage(fault: TableFaultKind) {
    const setup = createStoreSetup();
    setup.faulty.setDefaultFault(fault);
    const stuck = setup.client.commit(createRows("stuck", ["stuck"]), StorePriority.Claim, 1_000_000);
    await setup.clock.advance(20_000);
    assert.equal(setup.client.isAvailable(), false);
    return { ...setup, stuck };
}

describe("a store client during outages", () => {
    it("rides out a short silence without opening its breaker", async () => {
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
        it(`refuses at once while the store is away (${fault}), notices its return and goes on`, async () => {
            const { clock, faulty, client, eventLog, stuck } = await createOutage(fault);
            const callsBefore = faulty.callCount();
            const refused = await client.commit(createRows("w2", ["b"]), StorePriority.Lease, 1_000_000);
            assert.deepEqual(refused, { outcome: TransactionOutcome.Rejected, cause: RejectionCause.NotSent });
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

    it("refuses new reads at once, naming the time of the next probe, and lets one under way wait", async () => {
        const { clock, faulty, client } = createStoreSetup();
        faulty.setDefaultFault(TableFaultKind.LoseAnswer);
        const underWay = client.read(["a"], StorePriority.Other, 1_000_000);
        await clock.advance(20_000);
        const refused = await client.read(["a"], StorePriority.Other, 1_000_000);
        assert.ok(refused.isErr);
        assert.equal(refused.error.reason, FailureReason.StoreUnavailable);
        assert.ok((refused.error.retryAt ?? 0) > clock.wallNow());
        assert.ok((refused.error.retryAt ?? 0) <= clock.wallNow() + 5_000);
        faulty.setDefaultFault(TableFaultKind.None);
        await clock.advance(13_000);
        assert.ok((await underWay).isOk);
    });

    it("settles a marked transaction for good, also if the store goes down before its abandonment", async () => {
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

    it("probes a store that is down for an hour rarely, one call at a time", async () => {
        const { clock, faulty } = await createOutage(TableFaultKind.ConnectionRefused);
        const callsBefore = faulty.callCount();
        await clock.advance(3_600_000);
        const probes = faulty.callCount() - callsBefore;
        assert.ok(probes >= 720 && probes <= 1_440, `${probes} probes`);
    });

    it("lets what has gathered go on at its steady rate, leases first", async () => {
        const { clock, faulty, client } = createStoreSetup();
        faulty.setDefaultFault(TableFaultKind.LoseAnswer);
        const outcomes: string[] = [];
        for (let count = 0; count < 200; count++) {
            // All write one row, so that none can be grouped.
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

    it("waits for a slow store instead of asking it again and again", async () => {
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

    it("keeps reads going while only writes are silent", async () => {
        const { clock, faulty, client } = createStoreSetup();
        faulty.setDefaultFault(TableFaultKind.BreakBeforeCommit);
        void client.commit(createRows("w1", ["a"]), StorePriority.Claim, 1_000_000);
        await clock.advance(20_000);
        assert.equal(client.isAvailable(), false);
        faulty.setDefaultFault(TableFaultKind.None);
        assert.ok((await client.read(["a"], StorePriority.Other, 1_000_000)).isOk);
    });
});

import {
    absentVersion,
    createHttpObjectStore,
    createHttpTableService,
    createHttpVmList,
    createHttpWeightStore,
    RejectionCause,
    TransactionOutcome,
    VmState,
} from "daisyturn";
import { FailureReason, SystemClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createPlatformServer, type PlatformServerOptions } from "../createPlatformServer.js";
import { OutageKind } from "../platformFaults.js";

const clock = new SystemClock();
const soon = () => clock.monotonicNow() + 5_000;

async function withTables(
    options: PlatformServerOptions,
    body: (
        tables: ReturnType<typeof createHttpTableService>["tableService"],
        server: Awaited<ReturnType<typeof createPlatformServer>>,
    ) => Promise<void>,
): Promise<void> {
    const server = await createPlatformServer(options);
    const adapter = createHttpTableService({ url: server.url, clock });
    try {
        await body(adapter.tableService, server);
    }
    finally {
        await adapter.close();
        await server.close();
    }
}

function createRowOnce(key: string, writeId: string) {
    return { writeId, conditions: [{ key, expectedVersion: absentVersion }], writes: [{ key, value: "held" }] };
}

describe("createPlatformServer", () => {
    it("serves transactions, conflicts, deletes, reads and lists over HTTP", async () => {
        await withTables({}, async tables => {
            const first = await tables.transact(createRowOnce("a/1", "w1"), soon());
            assert.deepEqual(first, { outcome: TransactionOutcome.Committed, version: 1 });
            const second = await tables.transact(createRowOnce("a/1", "w2"), soon());
            assert.equal(second.cause, RejectionCause.ConditionFailed);
            assert.equal(second.conflicts?.[0]?.writeId, "w1");
            const remove = { writeId: "w3", conditions: [], writes: [{ key: "a/1", value: undefined }] };
            assert.equal((await tables.transact(remove, soon())).version, 2);
            await tables.transact(createRowOnce("a/2", "w4"), soon());
            const read = await tables.read(["a/1", "a/2"], soon());
            assert.deepEqual(read.unwrapOr([]).map(row => [row.key, row.version]), [["a/2", 3]]);
            const list = await tables.list("a/", 10, undefined, soon());
            assert.equal(list.unwrapOr([]).length, 1);
        });
    });

    it("reports a refused connection as not sent, and an answer lost after the commit as unknown", async () => {
        await withTables({ faults: { loseAnswers: 1 } }, async (tables, server) => {
            const lost = await tables.transact(createRowOnce("a", "w1"), soon());
            assert.equal(lost.outcome, TransactionOutcome.Unknown);
            server.setFaults({ loseAnswers: 0 });
            const read = await tables.read(["a"], soon());
            assert.equal(read.unwrapOr([])[0]?.writeId, "w1");
            await server.close();
            const refused = await tables.transact(createRowOnce("b", "w2"), soon());
            assert.deepEqual(refused, { outcome: TransactionOutcome.Rejected, cause: RejectionCause.NotSent });
        });
    });

    for (const down of [OutageKind.Hang, OutageKind.Reset, OutageKind.ErrorPage]) {
        it(`reports the outcome of a transaction as unknown during an outage (${down})`, async () => {
            await withTables({ faults: { down } }, async tables => {
                // Before the connection is open, the deadline would make it a transaction that was not sent.
                const answer = await tables.transact(createRowOnce("a", "w1"), clock.monotonicNow() + 2_000);
                assert.equal(answer.outcome, TransactionOutcome.Unknown);
            });
        });
    }

    it("throttles writes above the configured rate", async () => {
        await withTables({ faults: { writesPerSecond: 0.001 } }, async tables => {
            const first = await tables.transact(createRowOnce("a", "w1"), soon());
            assert.equal(first.outcome, TransactionOutcome.Committed);
            const answer = await tables.transact(createRowOnce("b", "w2"), soon());
            assert.equal(answer.cause, RejectionCause.Throttled);
        });
    });

    it("stores objects, limits weight grants and delays changes of the list of VMs", async () => {
        const live = { vmId: "vm-1", address: "10.0.0.1", availabilityZone: "a", state: VmState.Live };
        const server = await createPlatformServer({
            vms: [live],
            faults: { weightGrantsPerSecond: 0.001, vmLagMilliseconds: 60_000 },
        });
        const options = { url: server.url, clock };
        const objects = createHttpObjectStore(options);
        const weights = createHttpWeightStore(options);
        const vms = createHttpVmList(options);
        try {
            await objects.objectStore.put("snapshots/1 x", "body", soon());
            assert.equal((await objects.objectStore.get("snapshots/1 x", soon())).unwrapOr(""), "body");
            const absent = await objects.objectStore.get("none", soon());
            assert.equal(absent.isErr && absent.error.reason, FailureReason.NotFound);
            assert.ok((await weights.weightStore.requestLoad("model", soon())).isOk);
            const refused = await weights.weightStore.requestLoad("model", soon());
            assert.ok(refused.isErr && refused.error.reason === FailureReason.RateLimited && refused.error.retryAt);
            server.registerVm({ ...live, state: VmState.Leaving });
            const shown = await vms.vmList.list(soon());
            assert.deepEqual(shown.isOk && shown.value.entries, [live]);
            server.setFaults({ vmLagMilliseconds: 0 });
            const later = await vms.vmList.list(soon());
            assert.equal(later.isOk && later.value.entries[0]?.state, VmState.Leaving);
        }
        finally {
            await Promise.all([objects.close(), weights.close(), vms.close(), server.close()]);
        }
    });
});

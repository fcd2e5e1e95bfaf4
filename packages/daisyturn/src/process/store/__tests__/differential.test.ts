import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EagerClock } from "../../../__fixtures__/eagerClock.js";
import { TableFaultKind } from "../../../ports/faultyTableService.js";
import { createMemoryTableService } from "../../../ports/memoryTableService.js";
import { absentVersion, type Row, type TableService, type Transaction } from "../../../ports/tableService.js";
import { assertCorrectAnswer } from "../__fixtures__/interleavings.js";
import { replayInOrder } from "../__fixtures__/naiveTable.js";
import { createCommitCounter, createStoreSetupWith } from "../__fixtures__/storeSetup.js";
import { StorePriority } from "../storeClient.js";
import { addWriteMarker, writeMarkerPrefix } from "../writeMarker.js";

/** Which version of a row a condition expects. */
enum Demand {
    Current = "current",
    Stale = "stale",
    Absent = "absent",
}

interface Step {
    readonly client: number;
    readonly conditions: readonly { readonly key: string; readonly demand: Demand; }[];
    readonly writes: readonly { readonly key: string; readonly isDelete: boolean; }[];
    readonly isMarked: boolean;
}

interface Batch {
    readonly steps: readonly Step[];
    readonly faults: readonly TableFaultKind[];
    readonly releasesLateCommits: boolean;
}

const clientCount = 3;
const deletableKeys = ["d0", "d1"];
const keys = ["k0", "k1", "k2", ...deletableKeys];
const faultKinds = [
    TableFaultKind.None,
    TableFaultKind.BreakAfterCommit,
    TableFaultKind.BreakBeforeCommit,
    TableFaultKind.CommitLate,
    TableFaultKind.ConnectionRefused,
    TableFaultKind.Throttle,
];

const keyArbitrary = fc.constantFrom(...keys);
const stepArbitrary: fc.Arbitrary<Step> = fc.record({
    client: fc.nat(clientCount - 1),
    conditions: fc.uniqueArray(
        fc.record({ key: keyArbitrary, demand: fc.constantFrom(...Object.values(Demand)) }),
        { selector: item => item.key, maxLength: 3 },
    ),
    writes: fc.uniqueArray(
        fc.record({ key: keyArbitrary, isDelete: fc.boolean() }),
        { selector: item => item.key, minLength: 1, maxLength: 3 },
    ),
    isMarked: fc.boolean(),
});
const batchArbitrary: fc.Arbitrary<Batch> = fc.record({
    steps: fc.array(stepArbitrary, { minLength: 1, maxLength: 6 }),
    faults: fc.array(fc.constantFrom(...faultKinds), { maxLength: 8 }),
    releasesLateCommits: fc.boolean(),
});

/** Whether a transaction creates a deletable row on condition that it is absent. Such a transaction needs a marker. */
function needsMarker({ conditions, writes }: Transaction): boolean {
    const created = writes.filter(write => write.value !== undefined).map(write => write.key);
    return conditions.some(({ key, expectedVersion }) =>
        expectedVersion === absentVersion && deletableKeys.includes(key) && created.includes(key)
    );
}

function createTransaction(step: Step, writeId: string, currentRows: ReadonlyMap<string, Row>): Transaction {
    const expectedVersionOf = (key: string, demand: Demand) => {
        const current = currentRows.get(key)?.version ?? absentVersion;
        return demand === Demand.Absent
            ? absentVersion
            : demand === Demand.Current
            ? current
            : Math.max(0, current - 1);
    };
    return {
        writeId,
        conditions: step.conditions.map(({ key, demand }) => ({
            key,
            expectedVersion: expectedVersionOf(key, demand),
        })),
        writes: step.writes.map(({ key, isDelete }) => (
            { key, value: isDelete && deletableKeys.includes(key) ? undefined : writeId }
        )),
    };
}

async function readCurrentRows(memory: TableService): Promise<Map<string, Row>> {
    const rows = await memory.read(keys, 0);
    return new Map(rows.unwrapOr([]).map(row => [row.key, row]));
}

async function runBatches(batches: readonly Batch[]): Promise<void> {
    const memory = createMemoryTableService();
    const counter = createCommitCounter(memory);
    const clock = new EagerClock();
    const stop = new AbortController();
    const setups = [...Array(clientCount).keys()].map(() =>
        createStoreSetupWith(clock, { signal: stop.signal }, counter.counted)
    );
    const issued: Transaction[] = [];
    const settled = [];
    for (const { steps, faults, releasesLateCommits } of batches) {
        const currentRows = await readCurrentRows(memory);
        setups.forEach(setup => setup.faulty.script(...faults));
        const answers = steps.map(async step => {
            const transaction = createTransaction(step, `w${issued.length}`, currentRows);
            issued.push(transaction);
            const sent = step.isMarked || needsMarker(transaction) ? addWriteMarker(transaction, 0) : transaction;
            const client = setups[step.client]?.client;
            assert.ok(client);
            const answer = await client.commit(sent, StorePriority.Other, clock.monotonicNow() + 60_000);
            return { transaction, answer };
        });
        settled.push(...await Promise.all(answers));
        if (releasesLateCommits) {
            await Promise.all(setups.map(setup => setup.faulty.releaseLateCommits()));
        }
    }
    await Promise.all(setups.map(setup => setup.faulty.releaseLateCommits()));
    stop.abort();
    for (const { transaction, answer } of settled) {
        assertCorrectAnswer({ answer, commits: counter.of(transaction.writeId) }, transaction.writeId);
    }
    const commits = issued.flatMap(transaction =>
        counter.of(transaction.writeId).map(({ version }) => ({ transaction, version }))
    );
    const stored = (await memory.list("", Number.MAX_SAFE_INTEGER, undefined, 0)).unwrapOr([]);
    const storedRows = stored.filter(row => !row.key.startsWith(writeMarkerPrefix));
    assert.deepEqual(storedRows, replayInOrder(commits));
}

describe("store clients compared with sequential execution of transactions", () => {
    it("leave the same rows and report correct outcomes under all faults", async () => {
        await fc.assert(
            fc.asyncProperty(fc.array(batchArbitrary, { minLength: 1, maxLength: 12 }), runBatches),
            { seed: 20_261, numRuns: 600 },
        );
    });
});

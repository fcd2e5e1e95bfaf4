import assert from "node:assert/strict";
import { EagerClock } from "../../../__fixtures__/eagerClock.js";
import { TableFaultKind } from "../../../ports/faultyTableService.js";
import { createMemoryTableService } from "../../../ports/memoryTableService.js";
import {
    absentVersion,
    type RowCondition,
    type TableService,
    type Transaction,
    type TransactionAnswer,
    TransactionOutcome,
} from "../../../ports/tableService.js";
import { createStoreClient } from "../createStoreClient.js";
import { StorePriority } from "../storeClient.js";
import { addWriteMarker } from "../writeMarker.js";
import {
    createCommitCounter,
    createStoreSetupWith,
    deleteRows,
    ObservedTableService,
    updateRows,
} from "./storeSetup.js";

/** What another writer does concurrently. */
export enum OtherWriterAction {
    None = "none",
    /** Overwrites row `a` after having read its current value. */
    OverwriteA = "overwrite_a",
    DeleteA = "delete_a",
    OverwriteB = "overwrite_b",
    /** Overwrites row `a`, and deletes it once the client has its answer. */
    OverwriteThenDeleteA = "overwrite_then_delete_a",
}

/** One order of events between the attempts of a client, the store and another writer. */
export interface Interleaving {
    /** Faults of the first attempts, in order. */
    readonly faults: readonly TableFaultKind[];
    /** Whether the store answers after these faults. */
    readonly recovers: boolean;
    readonly act: OtherWriterAction;
    /** The other writer acts right before this call of the client, counted from 1 over transactions and reads. */
    readonly actBeforeCall: number;
    /** Late commits happen right before this call; past the last call, they happen after the client has its answer. */
    readonly releaseBeforeCall: number;
}

/** The outcome of a transaction: the client's answer, and the times that it actually took effect. */
export interface SettledTransaction {
    readonly answer: TransactionAnswer;
    readonly commits: readonly { readonly version: number; }[];
}

/** The rows before the client's first attempt. */
export interface ShapeRows {
    readonly a: RowCondition;
    readonly b: RowCondition;
    /** Not used by any other writer. */
    readonly c: RowCondition;
}

/** Builds a transaction of a certain shape. */
export type Shape = (rows: ShapeRows, writeId: string) => Transaction;

/** Faults that an attempt may encounter. */
const tryFaults = [
    TableFaultKind.BreakAfterCommit,
    TableFaultKind.BreakBeforeCommit,
    TableFaultKind.CommitLate,
    TableFaultKind.ConnectionRefused,
];
const lastPosition = 4;
const deadline = 60_000;

/** Shapes of transactions; each condition is on rows `a` and `b`. */
export const shapes = {
    update: ({ a }, writeId) => updateRows(writeId, [a]),
    updateB: ({ b }, writeId) => updateRows(writeId, [b]),
    updateBoth: ({ a, b }, writeId) => updateRows(writeId, [a, b]),
    createC: ({ c }, writeId) => updateRows(writeId, [c]),
    remove: ({ a }, writeId) => deleteRows(writeId, [a]),
    /** Row `b` is the fencing row: it is in a condition, but not written. */
    fenced: ({ a, b }, writeId) => ({ ...updateRows(writeId, [a]), conditions: [a, b] }),
    /** No row that it writes is in a condition, so it must not be sent twice. */
    renewal: ({ a, b }, writeId) => ({ ...updateRows(writeId, [a]), conditions: [b] }),
    unconditional: ({ a }, writeId) => ({ ...updateRows(writeId, [a]), conditions: [] }),
} satisfies Record<string, Shape>;

/** Adds a write marker to a shape. */
export function marked(shape: Shape): Shape {
    return (rows, writeId) => addWriteMarker(shape(rows, writeId), 0);
}

/** Lists all orders of up to `maxFaults` faults with one action of another writer and one time of late commits. */
export function listInterleavings(actions: readonly OtherWriterAction[], maxFaults: number): Interleaving[] {
    return listFaults(maxFaults).flatMap(faults =>
        [true, ...(faults.length === maxFaults ? [false] : [])].flatMap(recovers =>
            actions.flatMap(act =>
                positions(act !== OtherWriterAction.None).flatMap(actBeforeCall =>
                    positions(faults.includes(TableFaultKind.CommitLate)).map(releaseBeforeCall => (
                        { faults, recovers, act, actBeforeCall, releaseBeforeCall }
                    ))
                )
            )
        )
    );
}

function listFaults(length: number): TableFaultKind[][] {
    if (length === 0) {
        return [[]];
    }
    const longer = listFaults(length - 1);
    const longest = longer.filter(faults => faults.length === length - 1);
    return [...longer, ...longest.flatMap(faults => tryFaults.map(fault => [...faults, fault]))];
}

function positions(matters: boolean): number[] {
    return matters ? [1, 2, 3, lastPosition, lastPosition + 1] : [1];
}

/** Runs one interleaving. The transactions are committed concurrently, so that they form a group. */
export async function runInterleaving(
    builders: readonly Shape[],
    isPresent: boolean,
    order: Interleaving,
): Promise<SettledTransaction[]> {
    const initialRows = [{ key: "b", value: 0 }, ...(isPresent ? [{ key: "a", value: 0 }] : [])];
    const memory = createMemoryTableService({ initialRows });
    const counter = createCommitCounter(memory);
    const setup = createStoreSetupWith(new EagerClock(), {}, counter.counted);
    const { faulty } = setup;
    faulty.script(...order.faults);
    faulty.setDefaultFault(order.recovers ? TableFaultKind.None : TableFaultKind.BreakBeforeCommit);
    let calls = 0;
    const beforeCall = async () => {
        calls += 1;
        if (calls === order.actBeforeCall) {
            await performAction(memory, order.act);
        }
        if (calls === order.releaseBeforeCall) {
            await faulty.releaseLateCommits();
        }
    };
    const stop = new AbortController();
    const client = createStoreClient({
        ...setup.clientOptions,
        tableService: new ObservedTableService(faulty.tableService, beforeCall, () => undefined),
        signal: stop.signal,
    });
    const rows = {
        a: { key: "a", expectedVersion: isPresent ? 1 : absentVersion },
        b: { key: "b", expectedVersion: 1 },
        c: { key: "c", expectedVersion: absentVersion },
    };
    const transactions = builders.map((build, index) => build(rows, `w${index}`));
    const answers = await Promise.all(
        transactions.map(transaction => client.commit(transaction, StorePriority.Other, deadline)),
    );
    stop.abort();
    if (order.act === OtherWriterAction.OverwriteThenDeleteA) {
        await performAction(memory, OtherWriterAction.DeleteA);
    }
    await faulty.releaseLateCommits();
    return answers.map((answer, index) => ({ answer, commits: counter.of(transactions[index]?.writeId ?? "") }));
}

async function performAction(memory: TableService, act: OtherWriterAction): Promise<void> {
    if (act === OtherWriterAction.None) {
        return;
    }
    const key = act === OtherWriterAction.OverwriteB ? "b" : "a";
    const value = act === OtherWriterAction.DeleteA ? undefined : "other";
    await memory.transact({ writeId: "other", conditions: [], writes: [{ key, value }] }, 0);
}

/** Fails unless the client's answer is correct and stays so, and the transaction took effect at most once. */
export function assertCorrectAnswer({ answer, commits }: SettledTransaction, description: string): void {
    assert.ok(commits.length <= 1, `took effect ${commits.length} times: ${description}`);
    if (answer.outcome === TransactionOutcome.Committed) {
        assert.deepEqual(commits.map(commit => commit.version), [answer.version], `committed: ${description}`);
    }
    if (answer.outcome === TransactionOutcome.Rejected) {
        assert.equal(commits.length, 0, `rejected, but took effect: ${description}`);
    }
}

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

/** What another writer does meanwhile. */
export enum OtherAct {
    None = "none",
    /** Writes over row `a` as it stands: it has seen what stood there. */
    OverwriteA = "overwrite_a",
    DeleteA = "delete_a",
    OverwriteB = "overwrite_b",
    /** Writes over row `a`, and deletes it once the client has its answer. */
    OverwriteThenDeleteA = "overwrite_then_delete_a",
}

/** One order of events between a client's tries, the store and another writer. */
export interface Interleaving {
    /** What goes wrong with the first tries, in order. */
    readonly faults: readonly TableFaultKind[];
    /** Whether the store answers after these. */
    readonly recovers: boolean;
    readonly act: OtherAct;
    /** The other writer acts right before this call of the client, counted from 1 over transactions and reads. */
    readonly actBeforeCall: number;
    /** Tries that commit late do so right before this call; past the last call: after the client has its answer. */
    readonly releaseBeforeCall: number;
}

/** What became of a transaction: what the client said, and how often it took effect in the end. */
export interface SettledTransaction {
    readonly answer: TransactionAnswer;
    readonly commits: readonly { readonly version: number; }[];
}

/** The rows as they stand before the client's first try. */
export interface ShapeRows {
    readonly a: RowCondition;
    readonly b: RowCondition;
    /** Nobody else names it. */
    readonly c: RowCondition;
}

/** Builds a transaction. */
export type Shape = (rows: ShapeRows, writeId: string) => Transaction;

/** What one try may meet, besides an answer. */
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
    /** Row `b` is the fencing row: demanded, but not written. */
    fenced: ({ a, b }, writeId) => ({ ...updateRows(writeId, [a]), conditions: [a, b] }),
    /** Nothing that it writes is demanded, so it must not be sent twice. */
    renewal: ({ a, b }, writeId) => ({ ...updateRows(writeId, [a]), conditions: [b] }),
    unconditional: ({ a }, writeId) => ({ ...updateRows(writeId, [a]), conditions: [] }),
} satisfies Record<string, Shape>;

/** The same shape with a marker. */
export function marked(shape: Shape): Shape {
    return (rows, writeId) => addWriteMarker(shape(rows, writeId), 0);
}

/** All orders of some faulty tries with one act of another writer and one time at which late tries commit. */
export function listInterleavings(acts: readonly OtherAct[], mostFaults: number): Interleaving[] {
    return listFaults(mostFaults).flatMap(faults =>
        [true, ...(faults.length === mostFaults ? [false] : [])].flatMap(recovers =>
            acts.flatMap(act =>
                positions(act !== OtherAct.None).flatMap(actBeforeCall =>
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

/** Plays one order; the transactions are committed at once, so that they form a group. */
export async function playInterleaving(
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
            await performAct(memory, order.act);
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
    if (order.act === OtherAct.OverwriteThenDeleteA) {
        await performAct(memory, OtherAct.DeleteA);
    }
    await faulty.releaseLateCommits();
    return answers.map((answer, index) => ({ answer, commits: counter.of(transactions[index]?.writeId ?? "") }));
}

async function performAct(memory: TableService, act: OtherAct): Promise<void> {
    if (act === OtherAct.None) {
        return;
    }
    const key = act === OtherAct.OverwriteB ? "b" : "a";
    const value = act === OtherAct.DeleteA ? undefined : "other";
    await memory.transact({ writeId: "other", conditions: [], writes: [{ key, value }] }, 0);
}

/** Fails unless the client's answer is true, now and for ever, and the transaction took effect at most once. */
export function assertTrueAnswer({ answer, commits }: SettledTransaction, description: string): void {
    assert.ok(commits.length <= 1, `took effect ${commits.length} times: ${description}`);
    if (answer.outcome === TransactionOutcome.Committed) {
        assert.deepEqual(commits.map(commit => commit.version), [answer.version], `committed: ${description}`);
    }
    if (answer.outcome === TransactionOutcome.Rejected) {
        assert.equal(commits.length, 0, `rejected, but took effect: ${description}`);
    }
}

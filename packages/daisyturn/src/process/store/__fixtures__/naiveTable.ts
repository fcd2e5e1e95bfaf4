import { strict as assert } from "node:assert";
import { absentVersion, type Row, type Transaction } from "../../../ports/tableService.js";

/** A transaction of a caller that took effect, and the version of its commit. */
export interface OrderedCommit {
    readonly transaction: Transaction;
    readonly version: number;
}

/**
 * Reference implementation of the store client and the store: executes whole transactions one after another on a map.
 * Fails if the conditions of a transaction do not hold at its position.
 */
export function replayInOrder(commits: readonly OrderedCommit[]): readonly Row[] {
    const rows = new Map<string, Row>();
    const inOrder = [...commits].sort((left, right) => left.version - right.version);
    for (const { transaction, version } of inOrder) {
        for (const { key, expectedVersion } of transaction.conditions) {
            assert.equal(rows.get(key)?.version ?? absentVersion, expectedVersion, `${transaction.writeId} at ${key}`);
        }
        for (const { key, value } of transaction.writes) {
            if (value === undefined) {
                rows.delete(key);
            }
            else {
                rows.set(key, { key, version, value, writeId: transaction.writeId });
            }
        }
    }
    return [...rows.values()].sort((left, right) => left.key < right.key ? -1 : 1);
}

import type { Failure, JsonValue } from "daisyturn-utils";
import { ok, type Result } from "true-myth/result";
import {
    absentVersion,
    RejectionCause,
    type Row,
    type RowCondition,
    TableService,
    type Transaction,
    type TransactionAnswer,
    TransactionOutcome,
} from "./tableService.js";

export interface MemoryTableServiceOptions {
    /** Initial rows, written by one commit with the write id `initial`. */
    readonly initialRows?: readonly { readonly key: string; readonly value: JsonValue; }[];
}

const initialWriteId = "initial";

/**
 * Creates a table service that stores its rows in memory, for tests, the platform's stand-in and embedding daisyturn in
 * a single process. It never fails and ignores deadlines. `createFaultyTableService` wraps it to inject failures.
 */
export function createMemoryTableService(options: MemoryTableServiceOptions = {}): TableService {
    const rows = new Map<string, Row>();
    let sortedKeys: readonly string[] | undefined;
    let lastVersion = absentVersion;

    const conditionHolds = (condition: RowCondition) => {
        const row = rows.get(condition.key);
        return (row?.version ?? absentVersion) === condition.expectedVersion;
    };

    const reject = (failed: readonly RowCondition[]): TransactionAnswer => ({
        outcome: TransactionOutcome.Rejected,
        cause: RejectionCause.ConditionFailed,
        conflicts: failed.flatMap(condition => rows.get(condition.key) ?? []).map(copyRow),
    });

    const apply = (transaction: Transaction): TransactionAnswer => {
        lastVersion += 1;
        for (const write of transaction.writes) {
            sortedKeys = undefined;
            if (write.value === undefined) {
                rows.delete(write.key);
                continue;
            }
            const writeId = write.writeId ?? transaction.writeId;
            rows.set(write.key, copyRow({ key: write.key, version: lastVersion, value: write.value, writeId }));
        }
        return { outcome: TransactionOutcome.Committed, version: lastVersion };
    };

    const listKeys = () => {
        sortedKeys ??= [...rows.keys()].sort(compareKeys);
        return sortedKeys;
    };

    const readRows = (keys: readonly string[]): readonly Row[] =>
        [...new Set(keys)].flatMap(key => rows.get(key) ?? []).map(copyRow);

    class MemoryTableService extends TableService {
        override transact(transaction: Transaction): Promise<TransactionAnswer> {
            rejectDuplicateWrites(transaction);
            const failed = transaction.conditions.filter(condition => !conditionHolds(condition));
            return Promise.resolve(failed.length > 0 ? reject(failed) : apply(transaction));
        }

        override read(keys: readonly string[]): Promise<Result<readonly Row[], Failure>> {
            return Promise.resolve(ok(readRows(keys)));
        }

        override list(
            prefix: string,
            limit: number,
            afterKey: string | undefined,
        ): Promise<Result<readonly Row[], Failure>> {
            const keys = listKeys().filter(key =>
                key.startsWith(prefix) && (afterKey === undefined || compareKeys(key, afterKey) > 0)
            );
            return Promise.resolve(ok(readRows(keys.slice(0, limit))));
        }
    }

    if (options.initialRows) {
        apply({ writeId: initialWriteId, conditions: [], writes: options.initialRows });
    }
    return new MemoryTableService();
}

/** Writing a row twice in one transaction is a programming error, because the writes have no order. */
function rejectDuplicateWrites(transaction: Transaction): void {
    const keys = new Set(transaction.writes.map(write => write.key));
    if (keys.size < transaction.writes.length) {
        throw new Error(`transaction ${transaction.writeId} writes a row twice`);
    }
}

/** Orders keys by their UTF-16 code units. */
function compareKeys(left: string, right: string): number {
    if (left === right) {
        return 0;
    }
    return left < right ? -1 : 1;
}

/** Rows are copied on write and read, so that callers cannot modify stored rows. */
function copyRow(row: Row): Row {
    return structuredClone(row);
}

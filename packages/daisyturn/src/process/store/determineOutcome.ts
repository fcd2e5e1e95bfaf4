import {
    absentVersion,
    RejectionCause,
    type Row,
    type RowCondition,
    type RowWrite,
    type Transaction,
    type TransactionAnswer,
    TransactionOutcome,
} from "../../ports/tableService.js";

/**
 * Whether the transaction can be sent again without taking effect twice, because its own commit makes one of its
 * conditions fail. A row that must be absent must not be deleted while an attempt may be in flight; see
 * docs/design/store-access.md.
 */
export function canRepeat(transaction: Transaction): boolean {
    return transaction.conditions.some(({ key, expectedVersion }) => {
        const write = transaction.writes.find(candidate => candidate.key === key);
        // Deleting a row that must be absent changes nothing.
        const isDeleteOfAbsent = write?.value === undefined && expectedVersion === absentVersion;
        return write !== undefined && !isDeleteOfAbsent;
    });
}

/** The row among `rows` that only a commit of this transaction can have written. */
export function findOwnRow(transaction: Transaction, rows: readonly Row[]): Row | undefined {
    return rows.find(row => {
        const write = transaction.writes.find(candidate => candidate.key === row.key);
        return write !== undefined && row.writeId === writeIdOf(transaction, write);
    });
}

/** Keys of the rows that show the outcome of a transaction: those of its conditions and of its writes. */
export function listOutcomeKeys(transaction: Transaction): readonly string[] {
    const keys = [...transaction.conditions, ...transaction.writes].map(item => item.key);
    return [...new Set(keys)];
}

/**
 * Determines the outcome of a transaction that had unanswered attempts.
 * - A row with its write id proves that it committed.
 * - A row that it writes and that is still at the expected version proves that no attempt has committed so far, because
 *   versions are never reused. An expected version that no longer exists proves that no attempt will commit. Both at
 *   the same moment prove that nothing was or will be written.
 * - Otherwise the outcome is unknown: another writer that saw the commit may have overwritten the rows.
 * @param rows the existing rows among `listOutcomeKeys`, read at one moment after the last attempt was answered
 */
export function determineOutcome(transaction: Transaction, rows: readonly Row[]): TransactionAnswer {
    const ownRow = findOwnRow(transaction, rows);
    if (ownRow) {
        return { outcome: TransactionOutcome.Committed, version: ownRow.version };
    }
    const versions = new Map(rows.map(row => [row.key, row.version]));
    const holds = ({ key, expectedVersion }: RowCondition) => (versions.get(key) ?? absentVersion) === expectedVersion;
    const written = new Set(transaction.writes.map(write => write.key));
    const presenceConditions = transaction.conditions.filter(condition => condition.expectedVersion !== absentVersion);
    const failed = transaction.conditions.filter(condition => !holds(condition));
    const conflicts = rows.filter(row => failed.some(condition => condition.key === row.key));
    const hasNotCommitted = presenceConditions.some(condition => written.has(condition.key) && holds(condition));
    const neverCommits = presenceConditions.some(condition => !holds(condition));
    return hasNotCommitted && neverCommits
        ? { outcome: TransactionOutcome.Rejected, cause: RejectionCause.ConditionFailed, conflicts }
        : { outcome: TransactionOutcome.Unknown, conflicts };
}

function writeIdOf(transaction: Transaction, write: RowWrite): string {
    return write.writeId ?? transaction.writeId;
}

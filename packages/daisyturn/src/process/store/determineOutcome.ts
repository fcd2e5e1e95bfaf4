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
 * Whether sending the transaction twice can't make it take effect twice: its own commit makes one of its conditions
 * fail. (A row that is demanded to be absent must not be deleted while a try may be on its way; see
 * docs/design/store-access.md.)
 */
export function canRepeat(transaction: Transaction): boolean {
    return transaction.conditions.some(({ key, expectedVersion }) => {
        const write = transaction.writes.find(candidate => candidate.key === key);
        // Deleting a row that is demanded to be absent changes nothing.
        const isDeleteOfAbsent = write?.value === undefined && expectedVersion === absentVersion;
        return write !== undefined && !isDeleteOfAbsent;
    });
}

/** The row among `rows` that only a commit of this transaction can have left. */
export function findOwnRow(transaction: Transaction, rows: readonly Row[]): Row | undefined {
    return rows.find(row => {
        const write = transaction.writes.find(candidate => candidate.key === row.key);
        return write !== undefined && row.writeId === writeIdOf(transaction, write);
    });
}

/** Keys that tell what became of a transaction: those of its conditions and of its writes. */
export function evidenceKeys(transaction: Transaction): readonly string[] {
    const keys = [...transaction.conditions, ...transaction.writes].map(item => item.key);
    return [...new Set(keys)];
}

/**
 * Says what became of a transaction some of whose tries stayed without an answer.
 * - A row that stands with its write id proves the commit.
 * - A row it writes that still stands at the version it demands proves that no try has committed so far, because
 *   versions are never used again; a demanded version that is gone proves that no try will. Both at one moment prove
 *   that nothing was or will be written.
 * - All else stays unknown: the rows may have been overwritten since by somebody who saw the commit.
 * @param rows the rows under `evidenceKeys` as of one moment, after an answer to the last try; absent ones are left out
 */
export function determineOutcome(transaction: Transaction, rows: readonly Row[]): TransactionAnswer {
    const ownRow = findOwnRow(transaction, rows);
    if (ownRow) {
        return { outcome: TransactionOutcome.Committed, version: ownRow.version };
    }
    const versions = new Map(rows.map(row => [row.key, row.version]));
    const holds = ({ key, expectedVersion }: RowCondition) => (versions.get(key) ?? absentVersion) === expectedVersion;
    const written = new Set(transaction.writes.map(write => write.key));
    const lasting = transaction.conditions.filter(condition => condition.expectedVersion !== absentVersion);
    const failed = transaction.conditions.filter(condition => !holds(condition));
    const conflicts = rows.filter(row => failed.some(condition => condition.key === row.key));
    const hasNotCommitted = lasting.some(condition => written.has(condition.key) && holds(condition));
    const neverCommits = lasting.some(condition => !holds(condition));
    return hasNotCommitted && neverCommits
        ? { outcome: TransactionOutcome.Rejected, cause: RejectionCause.ConditionFailed, conflicts }
        : { outcome: TransactionOutcome.Unknown, conflicts };
}

function writeIdOf(transaction: Transaction, write: RowWrite): string {
    return write.writeId ?? transaction.writeId;
}

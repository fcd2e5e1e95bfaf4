import type { IdSource } from "daisyturn-utils";
import { RejectionCause, type Row, type TransactionAnswer, TransactionOutcome } from "../../ports/tableService.js";
import { type StoreClient, StorePriority } from "../store/index.js";
import { type ClaimRow, formatClaimRow } from "./claimRow.js";

/** A conditional write of a claim's row. */
export interface ClaimWrite {
    readonly rowKey: string;
    readonly expectedVersion: number;
    readonly row: ClaimRow;
    /** Monotonic time. */
    readonly deadline: number;
}

/** Outcome of a write. */
export enum ClaimWriteOutcome {
    Committed = "committed",
    /** The row has another version; nothing was written. */
    Conflict = "conflict",
    /** Nothing was written, and nothing will be. */
    NotWritten = "not_written",
    /** The row may have been written, or may still be written later. */
    Unknown = "unknown",
}

export interface ClaimWriteAnswer {
    readonly outcome: ClaimWriteOutcome;
    /** With Committed. */
    readonly version?: number;
    /** With Conflict: the current row, unless absent. With Unknown: the row that the last attempt conflicted with. */
    readonly present?: Row;
}

/** Writes claim rows, one row per transaction; the store client batches them when its rate limit requires it. */
export interface ClaimWriter {
    write(write: ClaimWrite): Promise<ClaimWriteAnswer>;
}

/** Creates the writer of one process. */
export function createClaimWriter(storeClient: StoreClient, ids: IdSource): ClaimWriter {
    const write = async ({ rowKey, expectedVersion, row, deadline }: ClaimWrite) => {
        const transaction = {
            writeId: ids.next("wr"),
            conditions: [{ key: rowKey, expectedVersion }],
            writes: [{ key: rowKey, value: formatClaimRow(row) }],
        };
        return describeAnswer(await storeClient.commit(transaction, StorePriority.Claim, deadline));
    };

    return { write };
}

function describeAnswer(answer: TransactionAnswer): ClaimWriteAnswer {
    switch (answer.outcome) {
        case TransactionOutcome.Committed:
            return { outcome: ClaimWriteOutcome.Committed, version: answer.version };
        case TransactionOutcome.Rejected:
            return answer.cause === RejectionCause.ConditionFailed
                ? { outcome: ClaimWriteOutcome.Conflict, present: answer.conflicts?.[0] }
                : { outcome: ClaimWriteOutcome.NotWritten };
        case TransactionOutcome.Unknown:
            return { outcome: ClaimWriteOutcome.Unknown, present: answer.conflicts?.[0] };
    }
}

import type { IdSource } from "daisyturn-utils";
import { RejectionCause, type Row, type TransactionAnswer, TransactionOutcome } from "../../ports/tableService.js";
import { type StoreClient, StorePriority } from "../store/index.js";
import { type ClaimRow, formatClaimRow } from "./claimRow.js";

/** One conditional write of a claim's row. */
export interface ClaimWrite {
    readonly rowKey: string;
    readonly expectedVersion: number;
    readonly row: ClaimRow;
    /** Monotonic time. */
    readonly deadline: number;
}

/** What became of a write. */
export enum ClaimWriteOutcome {
    Committed = "committed",
    /** The row stands at another version; nothing was written. */
    Conflict = "conflict",
    /** Nothing was written, and nothing will be. */
    NotWritten = "not_written",
    /** It may have been written, or still be written later. */
    Unknown = "unknown",
}

/** Answer to a write. */
export interface ClaimWriteAnswer {
    readonly outcome: ClaimWriteOutcome;
    /** With Committed. */
    readonly version?: number;
    /** With Conflict: the row as it stands, unless it is absent. With Unknown: what stood in the way of the last try. */
    readonly present?: Row;
}

/** Writes claim rows, one row a transaction; the store client sends several as one where it has to save on its rate. */
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

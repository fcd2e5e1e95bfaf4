import type { Failure, JsonValue } from "daisyturn-utils";
import type { Result } from "true-myth/result";

/** Known outcome of a transaction that was sent to the table service. */
export enum TransactionOutcome {
    Committed = "committed",
    /** A condition was not met, or the service refused the transaction. Nothing was written. */
    Rejected = "rejected",
    /** No answer, or no conclusive one. The transaction may take effect, now or later. */
    Unknown = "unknown",
}

/** A stored row. */
export interface Row {
    readonly key: string;
    /**
     * Number of the commit that last wrote the row. It increases across the whole service and is never reused, not even
     * after the row was deleted.
     */
    readonly version: number;
    readonly value: JsonValue;
    /** Write id of the transaction that last wrote the row. */
    readonly writeId: string;
}

/** Expected version in a condition that requires the row to be absent. */
export const absentVersion = 0;

/** Met if the row has the expected version. */
export interface RowCondition {
    readonly key: string;
    readonly expectedVersion: number;
}

/** Sets a row's value, or deletes the row if `value` is undefined. */
export interface RowWrite {
    readonly key: string;
    readonly value: JsonValue | undefined;
    /** Stored with the row instead of the transaction's write id when several transactions are sent as one. */
    readonly writeId?: string;
}

/** An atomic transaction: if all conditions are met, all writes take effect, and otherwise none. */
export interface Transaction {
    /** Unique to this transaction and the same for all its attempts. Stored with each row written. */
    readonly writeId: string;
    readonly conditions: readonly RowCondition[];
    readonly writes: readonly RowWrite[];
}

/** Why a transaction was rejected. */
export enum RejectionCause {
    ConditionFailed = "condition_failed",
    /** The service refused the transaction unprocessed, because of its rate limit. */
    Throttled = "throttled",
    /** The service could not be reached, and no byte of the transaction was sent. */
    NotSent = "not_sent",
}

/** The service's answer to a transaction. */
export interface TransactionAnswer {
    readonly outcome: TransactionOutcome;
    /** With Committed: version of every row written. */
    readonly version?: number;
    /** With Rejected: why. */
    readonly cause?: RejectionCause;
    /**
     * With ConditionFailed: the current rows whose condition failed, without absent rows. With Unknown, if the rows
     * could be read back: the same, as of that read.
     */
    readonly conflicts?: readonly Row[];
}

/** The platform's transactional table service. Adapters implement its wire protocol. */
export abstract class TableService {
    /** @param deadline monotonic time after which the answer is Unknown (or Rejected with NotSent) */
    abstract transact(transaction: Transaction, deadline: number): Promise<TransactionAnswer>;
    /** Reads a consistent snapshot of the rows. Absent rows are omitted. */
    abstract read(keys: readonly string[], deadline: number): Promise<Result<readonly Row[], Failure>>;
    /** Reads at most `limit` rows whose key starts with `prefix` and follows `afterKey`, ordered by key. */
    abstract list(
        prefix: string,
        limit: number,
        afterKey: string | undefined,
        deadline: number,
    ): Promise<Result<readonly Row[], Failure>>;
}

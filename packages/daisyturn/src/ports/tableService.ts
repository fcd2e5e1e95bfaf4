import type { Failure, JsonValue } from "daisyturn-utils";
import type { Result } from "true-myth/result";

/** What is known after a transaction was sent to the table service. */
export enum TransactionOutcome {
    Committed = "committed",
    /** A condition did not hold, or the service refused; nothing was written. */
    Rejected = "rejected",
    /** No answer, or one that does not tell: the transaction may take effect, now or later. */
    Unknown = "unknown",
}

/** A stored row. */
export interface Row {
    readonly key: string;
    /**
     * Number of the commit that last wrote the row. It grows over the whole service and is never used again,
     * also not after the row was deleted.
     */
    readonly version: number;
    readonly value: JsonValue;
    /** Write id of the transaction that last wrote the row. */
    readonly writeId: string;
}

/** Version in a condition that demands that the row is absent. */
export const absentVersion = 0;

/** Holds if the row stands at this version. */
export interface RowCondition {
    readonly key: string;
    readonly expectedVersion: number;
}

/** Sets a row's value, or deletes the row where `value` is undefined. */
export interface RowWrite {
    readonly key: string;
    readonly value: JsonValue | undefined;
    /** Stored with the row in place of the transaction's write id, where several transactions are sent as one. */
    readonly writeId?: string;
}

/** All writes take effect, or none; only if every condition holds. */
export interface Transaction {
    /** Unique to this transaction; the same on each try of it. Stored with each row written. */
    readonly writeId: string;
    readonly conditions: readonly RowCondition[];
    readonly writes: readonly RowWrite[];
}

/** Why a transaction was rejected. */
export enum RejectionCause {
    ConditionFailed = "condition_failed",
    /** The service refused before it looked at the transaction, because of its rate limit. */
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
     * With ConditionFailed: the present rows whose condition failed (absent rows are left out). With Unknown, where the
     * rows could be read back: the same, as of the read.
     */
    readonly conflicts?: readonly Row[];
}

/** The platform's transactional table service. Only an adapter knows its wire protocol. */
export abstract class TableService {
    /** @param deadline monotonic time after which the answer is Unknown (or Rejected with NotSent) */
    abstract transact(transaction: Transaction, deadline: number): Promise<TransactionAnswer>;
    /** Reads rows as of one moment; absent rows are left out. */
    abstract read(keys: readonly string[], deadline: number): Promise<Result<readonly Row[], Failure>>;
    /** Reads the rows whose key starts with `prefix`, ordered by key, at most `limit`, after `afterKey`. */
    abstract list(
        prefix: string,
        limit: number,
        afterKey: string | undefined,
        deadline: number,
    ): Promise<Result<readonly Row[], Failure>>;
}

import type { Failure } from "daisyturn-utils";
import type { Result } from "true-myth/result";
import type { Row, Transaction, TransactionAnswer } from "../../ports/tableService.js";

/** Priority of a call when the process has reached its share of the table service's rate; leases come first. */
export enum StorePriority {
    Lease = "lease",
    Claim = "claim",
    Other = "other",
}

/** Access to the table service within this process's share of its rate. */
export interface StoreClient {
    /**
     * Sends a transaction. Resolves an unknown outcome by sending it again under the same write id and by reading the
     * rows, until the deadline (monotonic). Unknown means that the transaction may still take effect.
     */
    commit(transaction: Transaction, priority: StorePriority, deadline: number): Promise<TransactionAnswer>;
    read(keys: readonly string[], priority: StorePriority, deadline: number): Promise<Result<readonly Row[], Failure>>;
    /** Reads all rows whose key starts with `prefix`, page by page. */
    list(prefix: string, priority: StorePriority, deadline: number): Promise<Result<readonly Row[], Failure>>;
    /** False while the breaker is open. New calls then fail immediately with StoreUnavailable. */
    isAvailable(): boolean;
    /** Monotonic time of the last answer; undefined before the first. */
    lastAnswerAt(): number | undefined;
}

/** A store client that can also list rows page by page, for callers that process many rows. */
export interface PagedStoreClient extends StoreClient {
    /** Reads at most `limit` rows whose key starts with `prefix`, ordered by key, after `afterKey`. */
    listPage(
        prefix: string,
        limit: number,
        afterKey: string | undefined,
        priority: StorePriority,
        deadline: number,
    ): Promise<Result<readonly Row[], Failure>>;
}

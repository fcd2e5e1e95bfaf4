import { type Clock, type EventLog, type Failure, FailureReason, notRun, type Random } from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import {
    RejectionCause,
    type Row,
    type TableService,
    type Transaction,
    type TransactionAnswer,
    TransactionOutcome,
} from "../../ports/tableService.js";
import { createCommitGrouper } from "./groupCommits.js";
import { createTransactionSettler } from "./settleTransaction.js";
import { StoreSide } from "./storeBreaker.js";
import { Admission, createStoreChannel, OutagePolicy } from "./storeChannel.js";
import { type PagedStoreClient, StorePriority } from "./storeClient.js";

/** Dependencies of the client, and this process's share of the table service's rate. */
export interface StoreClientOptions {
    readonly tableService: TableService;
    readonly clock: Clock;
    readonly random: Random;
    readonly eventLog: EventLog;
    readonly writesPerSecond: number;
    readonly readsPerSecond: number;
    /** Minimum wait for an answer before the call is tried again. The wait grows while the store is slow. */
    readonly tryMilliseconds?: number;
    /** Maximum number of transactions that are merged into one; 1 sends each alone. */
    readonly groupSize?: number;
    /** How long a transaction waits for others to be merged with it. Transactions of leases never wait. */
    readonly groupingMilliseconds?: number;
    /** Stops the probes of a store that does not answer. */
    readonly signal?: AbortSignal;
}

const defaultTryMilliseconds = 1_000;
const defaultGroupSize = 16;
const rowsPerPage = 500;
const probeKey = "store-probe";

/** A probe of whether the store answers. It never commits, because its condition can't hold. */
const probeTransaction: Transaction = {
    writeId: probeKey,
    conditions: [{ key: probeKey, expectedVersion: Number.MAX_SAFE_INTEGER }],
    writes: [],
};

const unansweredRead: Result<readonly Row[], Failure> = err(
    notRun(FailureReason.StoreUnavailable, "the table service did not answer in time"),
);

/** Creates this process's access to the table service. */
export function createStoreClient(options: StoreClientOptions): PagedStoreClient {
    checkOptions(options);
    const { tableService, clock } = options;
    const tryMilliseconds = options.tryMilliseconds ?? defaultTryMilliseconds;
    const writes = createStoreChannel({
        ...options,
        tryMilliseconds,
        side: StoreSide.Writes,
        callsPerSecond: options.writesPerSecond,
        probe: async deadline => isServiceAnswer(await tableService.transact(probeTransaction, deadline)),
    });
    const reads = createStoreChannel({
        ...options,
        tryMilliseconds,
        side: StoreSide.Reads,
        callsPerSecond: options.readsPerSecond,
        probe: async deadline => hasAnsweredRead(await tableService.read([probeKey], deadline)),
    });

    const readWithRetries = async (
        readOnce: (deadline: number) => Promise<Result<readonly Row[], Failure>>,
        priority: StorePriority,
        deadline: number,
    ): Promise<Result<readonly Row[], Failure>> => {
        const backOff = reads.createBackOff();
        let failed: Result<readonly Row[], Failure> | undefined;
        for (;;) {
            // Only new reads are rejected during an outage: the caller of a repeated read has waited already.
            const outagePolicy = failed ? OutagePolicy.Wait : OutagePolicy.FailFast;
            const admission = await reads.admit({ priority, deadline, outagePolicy });
            if (admission !== Admission.Admitted) {
                return failed ?? err(describeRejection(admission, reads.retryAt()));
            }
            const call = { send: readOnce, isAnswer: hasAnsweredRead, unanswered: unansweredRead };
            const answer = await reads.attempt(call, deadline);
            if (answer.isOk || !await backOff.wait(deadline)) {
                return answer;
            }
            failed = answer;
        }
    };

    const read = (keys: readonly string[], priority: StorePriority, deadline: number) =>
        readWithRetries(tryDeadline => tableService.read(keys, tryDeadline), priority, deadline);

    const listPage = (
        prefix: string,
        limit: number,
        afterKey: string | undefined,
        priority: StorePriority,
        deadline: number,
    ) => readWithRetries(tryDeadline => tableService.list(prefix, limit, afterKey, tryDeadline), priority, deadline);

    const list = async (prefix: string, priority: StorePriority, deadline: number) => {
        const rows: Row[] = [];
        for (;;) {
            const page = await listPage(prefix, rowsPerPage, rows.at(-1)?.key, priority, deadline);
            if (page.isErr) {
                return page;
            }
            rows.push(...page.value);
            if (page.value.length < rowsPerPage) {
                return ok<readonly Row[], Failure>(rows);
            }
        }
    };

    const settler = createTransactionSettler({ ...options, writes, readRows: read });
    const createGrouper = (priority: StorePriority, groupSize: number, groupingMilliseconds: number) =>
        createCommitGrouper({ clock, writes, settler, priority, groupSize, groupingMilliseconds });
    const groupSize = options.groupSize ?? defaultGroupSize;
    const groupingMilliseconds = options.groupingMilliseconds ?? 0;
    const groupers = {
        // Transactions of leases are never grouped, so that the conditions of others can't delay them.
        [StorePriority.Lease]: createGrouper(StorePriority.Lease, 1, 0),
        [StorePriority.Claim]: createGrouper(StorePriority.Claim, groupSize, groupingMilliseconds),
        [StorePriority.Other]: createGrouper(StorePriority.Other, groupSize, groupingMilliseconds),
    };

    return {
        commit: (transaction, priority, deadline) => groupers[priority].commit(transaction, deadline),
        read,
        list,
        listPage,
        isAvailable: () => writes.isAvailable() && reads.isAvailable(),
        lastAnswerAt: () => latest(writes.lastAnswerAt(), reads.lastAnswerAt()),
    };
}

/** @throws if a rate or size is not positive. This is a programming error: settings are validated before. */
function checkOptions(options: StoreClientOptions): void {
    const amounts = [options.writesPerSecond, options.readsPerSecond, options.groupSize ?? defaultGroupSize];
    if (amounts.some(amount => !(amount > 0))) {
        throw new Error("rates and group size of the store client must be greater than zero");
    }
}

function isServiceAnswer(answer: TransactionAnswer): boolean {
    return answer.outcome !== TransactionOutcome.Unknown && answer.cause !== RejectionCause.NotSent;
}

/** Whether the service itself answered. A rejection because of the rate limit is an answer, too. */
function hasAnsweredRead(answer: Result<readonly Row[], Failure>): boolean {
    return answer.isOk || answer.error.reason === FailureReason.RateLimited;
}

function describeRejection(admission: Admission, retryAt: number): Failure {
    return admission === Admission.Unavailable
        ? notRun(FailureReason.StoreUnavailable, "the table service does not answer", retryAt)
        : notRun(FailureReason.RateLimited, "the deadline came before this process's share of the rate");
}

function latest(left: number | undefined, right: number | undefined): number | undefined {
    return left === undefined || right === undefined ? left ?? right : Math.max(left, right);
}

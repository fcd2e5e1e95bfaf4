import { EventKind, type EventLog, type Failure } from "daisyturn-utils";
import type { Result } from "true-myth/result";
import {
    RejectionCause,
    type Row,
    type TableService,
    type Transaction,
    type TransactionAnswer,
    TransactionOutcome,
} from "../../ports/tableService.js";
import { canRepeat, determineOutcome, findOwnRow, listOutcomeKeys } from "./determineOutcome.js";
import { Admission, OutagePolicy, type StoreCall, type StoreChannel } from "./storeChannel.js";
import type { StorePriority } from "./storeClient.js";
import { createAbortTransaction, hasWriteMarker, writeMarkerKey } from "./writeMarker.js";

/** A transaction that is being committed, and what is known about it so far. */
export interface PendingCommit {
    readonly transaction: Transaction;
    readonly priority: StorePriority;
    /** Monotonic. */
    readonly deadline: number;
    /** An earlier send, alone or in a group, was not answered, so the transaction may have committed. */
    readonly isOutcomeUnknown: boolean;
    /** The next call has been admitted already. */
    readonly isAdmitted: boolean;
    /** Policy in an outage as long as every send was answered; FailFast if absent. */
    readonly outagePolicy?: OutagePolicy;
}

/** Sends transactions until their outcome is known or their deadline is reached. */
export interface TransactionSettler {
    settle(pending: PendingCommit): Promise<TransactionAnswer>;
}

export interface TransactionSettlerOptions {
    readonly tableService: TableService;
    readonly writes: StoreChannel;
    readonly readRows: (
        keys: readonly string[],
        priority: StorePriority,
        deadline: number,
    ) => Promise<Result<readonly Row[], Failure>>;
    readonly eventLog: EventLog;
}

export function createTransactionSettler(options: TransactionSettlerOptions): TransactionSettler {
    const { tableService, writes, eventLog } = options;

    const send = (transaction: Transaction, deadline: number) => {
        const call: StoreCall<TransactionAnswer> = {
            send: tryDeadline => tableService.transact(transaction, tryDeadline),
            isAnswer: isServiceAnswer,
            unanswered: unknownAnswer,
        };
        return writes.attempt(call, deadline);
    };

    const settle = async (pending: PendingCommit): Promise<TransactionAnswer> => {
        const { transaction, priority, deadline } = pending;
        const backOff = writes.createBackOff();
        let isOutcomeUnknown = pending.isOutcomeUnknown;
        let isAdmitted = pending.isAdmitted;
        for (;;) {
            if (isOutcomeUnknown && !canRepeat(transaction)) {
                return settleByReading(pending, []);
            }
            const outagePolicy = isOutcomeUnknown ? OutagePolicy.Wait : pending.outagePolicy ?? OutagePolicy.FailFast;
            const admission = isAdmitted
                ? Admission.Admitted
                : await writes.admit({ priority, deadline, outagePolicy });
            if (admission !== Admission.Admitted) {
                return isOutcomeUnknown ? record(transaction, unknownAnswer) : createRejection(admission);
            }
            isAdmitted = false;
            const answer = await send(transaction, deadline);
            if (isFinal(answer)) {
                return isOutcomeUnknown ? settleAnswer(pending, answer) : answer;
            }
            isOutcomeUnknown ||= answer.outcome === TransactionOutcome.Unknown;
            if (!await backOff.wait(deadline)) {
                return isOutcomeUnknown ? record(transaction, unknownAnswer) : answer;
            }
        }
    };

    /** Determines the outcome if the last attempt was answered, but an earlier one was not. */
    const settleAnswer = async (pending: PendingCommit, answer: TransactionAnswer): Promise<TransactionAnswer> => {
        const { transaction } = pending;
        if (answer.outcome === TransactionOutcome.Committed) {
            return record(transaction, answer);
        }
        const conflicts = answer.conflicts ?? [];
        const ownRow = findOwnRow(transaction, conflicts);
        if (ownRow) {
            return record(transaction, { outcome: TransactionOutcome.Committed, version: ownRow.version });
        }
        return hasWriteMarker(transaction) ? abort(pending, conflicts) : settleByReading(pending, conflicts);
    };

    const settleByReading = async (pending: PendingCommit, conflicts: readonly Row[]): Promise<TransactionAnswer> => {
        const { transaction, priority, deadline } = pending;
        const rows = await options.readRows(listOutcomeKeys(transaction), priority, deadline);
        const answer = rows.isOk
            ? determineOutcome(transaction, rows.value)
            : { outcome: TransactionOutcome.Unknown, conflicts };
        return record(transaction, answer);
    };

    /** Writes the marker row in place of the transaction, so that no attempt still in flight can commit later. */
    const abort = async (pending: PendingCommit, conflicts: readonly Row[]): Promise<TransactionAnswer> => {
        const { transaction } = pending;
        const abortTransaction = createAbortTransaction(transaction);
        const key = writeMarkerKey(transaction.writeId);
        const answer = await settle({
            ...pending,
            transaction: abortTransaction,
            isOutcomeUnknown: false,
            isAdmitted: false,
            outagePolicy: OutagePolicy.Wait,
        });
        const marker = answer.conflicts?.find(row => row.key === key);
        if (marker?.writeId === transaction.writeId) {
            return record(transaction, { outcome: TransactionOutcome.Committed, version: marker.version });
        }
        const isAborted = answer.outcome === TransactionOutcome.Committed
            || marker?.writeId === abortTransaction.writeId;
        return record(
            transaction,
            isAborted
                ? { outcome: TransactionOutcome.Rejected, cause: RejectionCause.ConditionFailed, conflicts }
                : { outcome: TransactionOutcome.Unknown, conflicts },
        );
    };

    const record = (transaction: Transaction, answer: TransactionAnswer) => {
        eventLog.record(EventKind.StoreOutcomeSettled, { write: transaction.writeId, verdict: answer.outcome });
        return answer;
    };

    return { settle };
}

const unknownAnswer: TransactionAnswer = { outcome: TransactionOutcome.Unknown };

/** The answer to a transaction that was never sent. */
export function createRejection(admission: Admission.Unavailable | Admission.OutOfTime): TransactionAnswer {
    const cause = admission === Admission.Unavailable ? RejectionCause.NotSent : RejectionCause.Throttled;
    return { outcome: TransactionOutcome.Rejected, cause };
}

/** Whether the answer comes from the service itself. */
function isServiceAnswer(answer: TransactionAnswer): boolean {
    return answer.outcome !== TransactionOutcome.Unknown && answer.cause !== RejectionCause.NotSent;
}

/** Whether the answer states the outcome of this attempt. */
function isFinal(answer: TransactionAnswer): boolean {
    return answer.outcome === TransactionOutcome.Committed || answer.cause === RejectionCause.ConditionFailed;
}

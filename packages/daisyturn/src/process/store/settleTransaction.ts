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
import { canRepeat, determineOutcome, evidenceKeys, findOwnRow } from "./determineOutcome.js";
import { Admission, OutageConduct, type StoreCall, type StoreChannel } from "./storeChannel.js";
import type { StorePriority } from "./storeClient.js";
import { createAbandonment, hasWriteMarker, writeMarkerKey } from "./writeMarker.js";

/** A transaction on its way, and what is known of it so far. */
export interface PendingCommit {
    readonly transaction: Transaction;
    readonly priority: StorePriority;
    /** Monotonic. */
    readonly deadline: number;
    /** An earlier send, alone or in a group, stayed without an answer. */
    readonly mayHaveCommitted: boolean;
    /** The next call has been admitted already. */
    readonly isAdmitted: boolean;
    /** What to do in an outage while no send has stayed without an answer; Leave if absent. */
    readonly conduct?: OutageConduct;
}

/** Sends transactions until it is known what became of them, or the deadline comes. */
export interface TransactionSettler {
    settle(pending: PendingCommit): Promise<TransactionAnswer>;
}

/** What the settler needs. */
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

/** Creates the settler. */
export function createTransactionSettler(options: TransactionSettlerOptions): TransactionSettler {
    const { tableService, writes, eventLog } = options;

    const send = (transaction: Transaction, deadline: number) => {
        const call: StoreCall<TransactionAnswer> = {
            send: tryDeadline => tableService.transact(transaction, tryDeadline),
            isAnswer: isStatement,
            silence: unknownAnswer,
        };
        return writes.attempt(call, deadline);
    };

    const settle = async (pending: PendingCommit): Promise<TransactionAnswer> => {
        const { transaction, priority, deadline } = pending;
        const backOff = writes.createBackOff();
        let mayHaveCommitted = pending.mayHaveCommitted;
        let isAdmitted = pending.isAdmitted;
        for (;;) {
            if (mayHaveCommitted && !canRepeat(transaction)) {
                return settleByReading(pending, []);
            }
            const conduct = mayHaveCommitted ? OutageConduct.Stay : pending.conduct ?? OutageConduct.Leave;
            const admission = isAdmitted ? Admission.Admitted : await writes.admit({ priority, deadline, conduct });
            if (admission !== Admission.Admitted) {
                return mayHaveCommitted ? record(transaction, unknownAnswer) : refuse(admission);
            }
            isAdmitted = false;
            const answer = await send(transaction, deadline);
            if (isFinal(answer)) {
                return mayHaveCommitted ? settleAnswer(pending, answer) : answer;
            }
            mayHaveCommitted ||= answer.outcome === TransactionOutcome.Unknown;
            if (!await backOff.wait(deadline)) {
                return mayHaveCommitted ? record(transaction, unknownAnswer) : answer;
            }
        }
    };

    /** The last try was answered, an earlier one was not. */
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
        return hasWriteMarker(transaction) ? abandon(pending, conflicts) : settleByReading(pending, conflicts);
    };

    const settleByReading = async (pending: PendingCommit, conflicts: readonly Row[]): Promise<TransactionAnswer> => {
        const { transaction, priority, deadline } = pending;
        const rows = await options.readRows(evidenceKeys(transaction), priority, deadline);
        const answer = rows.isOk
            ? determineOutcome(transaction, rows.value)
            : { outcome: TransactionOutcome.Unknown, conflicts };
        return record(transaction, answer);
    };

    /** Takes the marker's place, so that no try that is still on its way can commit later. */
    const abandon = async (pending: PendingCommit, conflicts: readonly Row[]): Promise<TransactionAnswer> => {
        const { transaction } = pending;
        const abandonment = createAbandonment(transaction);
        const key = writeMarkerKey(transaction.writeId);
        const answer = await settle({
            ...pending,
            transaction: abandonment,
            mayHaveCommitted: false,
            isAdmitted: false,
            conduct: OutageConduct.Stay,
        });
        const marker = answer.conflicts?.find(row => row.key === key);
        if (marker?.writeId === transaction.writeId) {
            return record(transaction, { outcome: TransactionOutcome.Committed, version: marker.version });
        }
        const isAbandoned = answer.outcome === TransactionOutcome.Committed
            || marker?.writeId === abandonment.writeId;
        return record(
            transaction,
            isAbandoned
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

/** The answer to a transaction of which nothing was sent. */
export function refuse(admission: Admission.Unavailable | Admission.OutOfTime): TransactionAnswer {
    const cause = admission === Admission.Unavailable ? RejectionCause.NotSent : RejectionCause.Throttled;
    return { outcome: TransactionOutcome.Rejected, cause };
}

/** Whether the service itself spoke. */
function isStatement(answer: TransactionAnswer): boolean {
    return answer.outcome !== TransactionOutcome.Unknown && answer.cause !== RejectionCause.NotSent;
}

/** Whether the service said what became of this try. */
function isFinal(answer: TransactionAnswer): boolean {
    return answer.outcome === TransactionOutcome.Committed || answer.cause === RejectionCause.ConditionFailed;
}

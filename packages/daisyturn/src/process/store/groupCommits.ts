import type { Clock } from "daisyturn-utils";
import {
    RejectionCause,
    type Row,
    type Transaction,
    type TransactionAnswer,
    TransactionOutcome,
} from "../../ports/tableService.js";
import { createRejection, type TransactionSettler } from "./settleTransaction.js";
import { Admission, OutagePolicy, type StoreChannel } from "./storeChannel.js";
import type { StorePriority } from "./storeClient.js";
import { canJoin, findMemberConflicts, mergeTransactions } from "./transactionGroup.js";

/** Sends transactions of one priority, and merges independent ones into one transaction. */
export interface CommitGrouper {
    commit(transaction: Transaction, deadline: number): Promise<TransactionAnswer>;
}

export interface CommitGrouperOptions {
    readonly clock: Clock;
    readonly writes: StoreChannel;
    readonly settler: TransactionSettler;
    readonly priority: StorePriority;
    /** Maximum number of transactions in one group; 1 sends each alone. */
    readonly groupSize: number;
    /** How long a transaction waits for others. Transactions that wait for the rate limit are grouped in any case. */
    readonly groupingMilliseconds: number;
}

interface Member {
    readonly transaction: Transaction;
    readonly deadline: number;
    readonly arrivedAt: number;
    readonly resolve: (answer: TransactionAnswer | Promise<TransactionAnswer>) => void;
}

/** Creates the grouper. One task processes the waiting transactions in the order of their arrival. */
export function createCommitGrouper(options: CommitGrouperOptions): CommitGrouper {
    const { clock, writes, settler, priority } = options;
    let waiting: Member[] = [];
    let isServing = false;
    let earliestDeadline = Number.POSITIVE_INFINITY;
    let admissionAbort = new AbortController();
    let groupCount = 0;

    const settleAlone = (member: Member, isOutcomeUnknown = false, isAdmitted = false) => {
        const { transaction, deadline } = member;
        member.resolve(settler.settle({ transaction, priority, deadline, isOutcomeUnknown, isAdmitted }));
    };

    const settleMerged = (members: readonly Member[]) => {
        groupCount += 1;
        const transactions = members.map(member => member.transaction);
        return settler.settle({
            transaction: mergeTransactions(transactions, `${transactions[0]?.writeId}/group-${groupCount}`),
            priority,
            deadline: Math.min(...members.map(member => member.deadline)),
            isOutcomeUnknown: false,
            isAdmitted: true,
        });
    };

    const settleGroup = async (members: readonly Member[]) => {
        const settling = settleMerged(members);
        // An exception in the settler, which is a programming error, fails the calls of all members.
        const answer = await settling.catch(() => undefined);
        switch (answer?.outcome) {
            case undefined:
            case TransactionOutcome.Committed:
                members.forEach(member => member.resolve(settling));
                break;
            case TransactionOutcome.Unknown:
                members.forEach(member => settleAlone(member, true));
                break;
            case TransactionOutcome.Rejected:
                members.forEach(member => settleRejectedMember(member, answer?.conflicts ?? []));
                break;
        }
    };

    /** Handles a member of a rejected group: rejects it if its own condition failed, and else sends it alone. */
    const settleRejectedMember = (member: Member, conflicts: readonly Row[]) => {
        const own = findMemberConflicts(member.transaction, conflicts);
        if (own.length === 0) {
            settleAlone(member);
            return;
        }
        member.resolve({
            outcome: TransactionOutcome.Rejected,
            cause: RejectionCause.ConditionFailed,
            conflicts: own,
        });
    };

    const dequeueGroup = () => {
        const group: Member[] = [];
        const rest: Member[] = [];
        for (const member of waiting) {
            const transactions = group.map(other => other.transaction);
            // The first transaction is always sent, however many rows it writes.
            const joins = group.length === 0
                || (group.length < options.groupSize && canJoin(transactions, member.transaction));
            (joins ? group : rest).push(member);
        }
        waiting = rest;
        return group;
    };

    const startNext = () => {
        const group = dequeueGroup();
        const [first] = group;
        if (first && group.length === 1) {
            settleAlone(first, false, true);
        }
        else {
            void settleGroup(group);
        }
    };

    const rejectWaiting = (admission: Admission.Unavailable | Admission.OutOfTime) => {
        const now = clock.monotonicNow();
        const isRejected = (member: Member) => admission === Admission.Unavailable || member.deadline <= now;
        const rejected = waiting.filter(isRejected);
        waiting = waiting.filter(member => !isRejected(member));
        rejected.forEach(member => member.resolve(createRejection(admission)));
    };

    const waitForMembers = async () => {
        const [first] = waiting;
        if (first && options.groupingMilliseconds > 0) {
            await clock.sleepUntil(first.arrivedAt + options.groupingMilliseconds);
        }
    };

    const serve = async () => {
        isServing = true;
        while (waiting.length > 0) {
            await waitForMembers();
            admissionAbort = new AbortController();
            earliestDeadline = Math.min(...waiting.map(member => member.deadline));
            const admission = await writes.admit({
                priority,
                deadline: earliestDeadline,
                outagePolicy: OutagePolicy.FailFast,
                signal: admissionAbort.signal,
            });
            if (admission === Admission.Admitted) {
                startNext();
            }
            else {
                rejectWaiting(admission);
            }
        }
        isServing = false;
    };

    const commit = (transaction: Transaction, deadline: number) =>
        new Promise<TransactionAnswer>(resolve => {
            waiting.push({ transaction, deadline, arrivedAt: clock.monotonicNow(), resolve });
            if (!isServing) {
                void serve();
            }
            else if (deadline < earliestDeadline) {
                admissionAbort.abort();
            }
        });

    return { commit };
}

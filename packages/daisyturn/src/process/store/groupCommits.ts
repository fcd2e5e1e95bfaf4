import type { Clock } from "daisyturn-utils";
import {
    RejectionCause,
    type Row,
    type Transaction,
    type TransactionAnswer,
    TransactionOutcome,
} from "../../ports/tableService.js";
import { refuse, type TransactionSettler } from "./settleTransaction.js";
import { Admission, OutageConduct, type StoreChannel } from "./storeChannel.js";
import type { StorePriority } from "./storeClient.js";
import { canJoin, findMemberConflicts, mergeTransactions } from "./transactionGroup.js";

/** Sends transactions of one priority, several as one where they are independent. */
export interface CommitGrouper {
    commit(transaction: Transaction, deadline: number): Promise<TransactionAnswer>;
}

/** What the grouper needs. */
export interface CommitGrouperOptions {
    readonly clock: Clock;
    readonly writes: StoreChannel;
    readonly settler: TransactionSettler;
    readonly priority: StorePriority;
    /** Most transactions in one group; 1 sends each alone. */
    readonly groupSize: number;
    /** How long a transaction waits for company. Those that wait for their share of the rate are grouped in any case. */
    readonly groupingMilliseconds: number;
}

interface Member {
    readonly transaction: Transaction;
    readonly deadline: number;
    readonly arrivedAt: number;
    readonly resolve: (answer: TransactionAnswer | Promise<TransactionAnswer>) => void;
}

/** Creates the grouper. One task serves the waiting transactions in the order of their arrival. */
export function createCommitGrouper(options: CommitGrouperOptions): CommitGrouper {
    const { clock, writes, settler, priority } = options;
    let waiting: Member[] = [];
    let isServing = false;
    let earliestDeadline = Number.POSITIVE_INFINITY;
    let newArrival = new AbortController();
    let groupCount = 0;

    const settleAlone = (member: Member, mayHaveCommitted = false, isAdmitted = false) => {
        const { transaction, deadline } = member;
        member.resolve(settler.settle({ transaction, priority, deadline, mayHaveCommitted, isAdmitted }));
    };

    const settleMerged = (members: readonly Member[]) => {
        groupCount += 1;
        const transactions = members.map(member => member.transaction);
        return settler.settle({
            transaction: mergeTransactions(transactions, `${transactions[0]?.writeId}/group-${groupCount}`),
            priority,
            deadline: Math.min(...members.map(member => member.deadline)),
            mayHaveCommitted: false,
            isAdmitted: true,
        });
    };

    const settleGroup = async (members: readonly Member[]) => {
        const settling = settleMerged(members);
        // A programming error in the settler fails every member's call.
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
                members.forEach(member => fallApart(member, answer?.conflicts ?? []));
                break;
        }
    };

    /** A member whose own condition failed has its answer; the others go on alone. */
    const fallApart = (member: Member, conflicts: readonly Row[]) => {
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

    const takeGroup = () => {
        const group: Member[] = [];
        const rest: Member[] = [];
        for (const member of waiting) {
            const transactions = group.map(other => other.transaction);
            // The first goes in any case, however many rows it writes.
            const joins = group.length === 0
                || (group.length < options.groupSize && canJoin(transactions, member.transaction));
            (joins ? group : rest).push(member);
        }
        waiting = rest;
        return group;
    };

    const startNext = () => {
        const group = takeGroup();
        const [first] = group;
        if (first && group.length === 1) {
            settleAlone(first, false, true);
        }
        else {
            void settleGroup(group);
        }
    };

    const refuseWaiting = (admission: Admission.Unavailable | Admission.OutOfTime) => {
        const now = clock.monotonicNow();
        const isRefused = (member: Member) => admission === Admission.Unavailable || member.deadline <= now;
        const refused = waiting.filter(isRefused);
        waiting = waiting.filter(member => !isRefused(member));
        refused.forEach(member => member.resolve(refuse(admission)));
    };

    const waitForCompany = async () => {
        const [first] = waiting;
        if (first && options.groupingMilliseconds > 0) {
            await clock.sleepUntil(first.arrivedAt + options.groupingMilliseconds);
        }
    };

    const serve = async () => {
        isServing = true;
        while (waiting.length > 0) {
            await waitForCompany();
            newArrival = new AbortController();
            earliestDeadline = Math.min(...waiting.map(member => member.deadline));
            const admission = await writes.admit({
                priority,
                deadline: earliestDeadline,
                conduct: OutageConduct.Leave,
                signal: newArrival.signal,
            });
            if (admission === Admission.Admitted) {
                startNext();
            }
            else {
                refuseWaiting(admission);
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
                newArrival.abort();
            }
        });

    return { commit };
}

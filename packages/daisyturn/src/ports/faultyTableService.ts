import { type Clock, type Failure, FailureReason, notRun } from "daisyturn-utils";
import { err, type Result } from "true-myth/result";
import {
    RejectionCause,
    type Row,
    TableService,
    type Transaction,
    type TransactionAnswer,
    TransactionOutcome,
} from "./tableService.js";

/** Faults that can be injected into a call. */
export enum TableFaultKind {
    None = "none",
    /** The connection is refused. Nothing is sent. */
    ConnectionRefused = "down",
    /** The call runs after a delay. If the deadline passes first, the answer is lost but the call still runs. */
    Delayed = "slow",
    /** The call runs at once, its answer is lost and the caller waits until its deadline. */
    LoseAnswer = "lose_answer",
    /** The call runs at once and the connection breaks before the answer. */
    BreakAfterCommit = "break_after_commit",
    /** The connection breaks after the send, and the call never runs. */
    BreakBeforeCommit = "break_before_commit",
    /** The connection breaks after the send, and the call runs when `releaseLateCommits` is called. */
    CommitLate = "commit_late",
    /** The service rejects the call because of its rate limit. */
    Throttle = "throttle",
}

/** A fault and, for Delayed, the delay. */
export interface TableFault {
    readonly kind: TableFaultKind;
    readonly delayMilliseconds?: number;
}

export interface FaultyTableServiceOptions {
    readonly clock: Clock;
}

/** A table service whose calls fail as configured by a test. */
export interface FaultyTableService {
    readonly tableService: TableService;
    /** Faults of the next calls, one each, in order. They take precedence over the default fault. */
    script(...faults: readonly (TableFault | TableFaultKind)[]): void;
    /** Fault of all calls for which no fault is scripted. */
    setDefaultFault(fault: TableFault | TableFaultKind): void;
    /** Rejects calls over this number per whole second of the clock; undefined removes the limit. */
    setCallsPerSecond(limit: number | undefined): void;
    /** Runs the transactions delayed by CommitLate, in the order in which they were sent. */
    releaseLateCommits(): Promise<readonly TransactionAnswer[]>;
    /** All transactions that were submitted, in order, whatever their outcome. */
    readonly transactions: readonly Transaction[];
    /** Number of calls of any kind. */
    callCount(): number;
}

const unknownAnswer: TransactionAnswer = { outcome: TransactionOutcome.Unknown };
const millisecondsPerSecond = 1_000;

/** Wraps a table service and injects faults, for failure tests. */
export function createFaultyTableService(inner: TableService, options: FaultyTableServiceOptions): FaultyTableService {
    const { clock } = options;
    const scripted: TableFault[] = [];
    const transactions: Transaction[] = [];
    let defaultFault: TableFault = { kind: TableFaultKind.None };
    let lateCommits: Transaction[] = [];
    let callsPerSecond: number | undefined;
    let countedSecond = 0;
    let callsInSecond = 0;
    let calls = 0;

    const isOverRate = () => {
        const second = Math.floor(clock.monotonicNow() / millisecondsPerSecond);
        callsInSecond = second === countedSecond ? callsInSecond + 1 : 1;
        countedSecond = second;
        return callsPerSecond !== undefined && callsInSecond > callsPerSecond;
    };

    const nextFault = (): TableFault => {
        calls += 1;
        if (isOverRate()) {
            return { kind: TableFaultKind.Throttle };
        }
        return scripted.shift() ?? defaultFault;
    };

    /** Runs the call after the delay. Returns `late` if the deadline passes first. */
    const runSlowly = async <Answer>(fault: TableFault, deadline: number, run: () => Promise<Answer>, late: Answer) => {
        const runAt = clock.monotonicNow() + (fault.delayMilliseconds ?? 0);
        const running = clock.sleepUntil(runAt).then(run);
        const timeout = clock.sleepUntil(deadline).then(() => late);
        return await Promise.race([running, timeout]);
    };

    const transact = async (transaction: Transaction, deadline: number): Promise<TransactionAnswer> => {
        const fault = nextFault();
        const run = () => inner.transact(transaction, deadline);
        transactions.push(transaction);
        switch (fault.kind) {
            case TableFaultKind.None:
                return await run();
            case TableFaultKind.ConnectionRefused:
                return { outcome: TransactionOutcome.Rejected, cause: RejectionCause.NotSent };
            case TableFaultKind.Throttle:
                return { outcome: TransactionOutcome.Rejected, cause: RejectionCause.Throttled };
            case TableFaultKind.Delayed:
                return await runSlowly(fault, deadline, run, unknownAnswer);
            case TableFaultKind.LoseAnswer:
                await run();
                await clock.sleepUntil(deadline);
                return unknownAnswer;
            case TableFaultKind.BreakAfterCommit:
                await run();
                return unknownAnswer;
            case TableFaultKind.BreakBeforeCommit:
                return unknownAnswer;
            case TableFaultKind.CommitLate:
                lateCommits.push(transaction);
                return unknownAnswer;
        }
    };

    const readWith = async <Value>(deadline: number, run: () => Promise<Result<Value, Failure>>) => {
        const fault = nextFault();
        const failed: Result<Value, Failure> = err(
            notRun(FailureReason.StoreUnavailable, "the table service did not answer a read"),
        );
        switch (fault.kind) {
            case TableFaultKind.None:
                return await run();
            case TableFaultKind.Throttle:
                return err<Value, Failure>(notRun(FailureReason.RateLimited, "the table service is over its rate"));
            case TableFaultKind.Delayed:
                return await runSlowly(fault, deadline, run, failed);
            case TableFaultKind.LoseAnswer:
                await clock.sleepUntil(deadline);
                return failed;
            case TableFaultKind.ConnectionRefused:
            case TableFaultKind.BreakAfterCommit:
            case TableFaultKind.BreakBeforeCommit:
            case TableFaultKind.CommitLate:
                return failed;
        }
    };

    class FaultyService extends TableService {
        override transact(transaction: Transaction, deadline: number): Promise<TransactionAnswer> {
            return transact(transaction, deadline);
        }

        override read(keys: readonly string[], deadline: number): Promise<Result<readonly Row[], Failure>> {
            return readWith(deadline, () => inner.read(keys, deadline));
        }

        override list(
            prefix: string,
            limit: number,
            afterKey: string | undefined,
            deadline: number,
        ): Promise<Result<readonly Row[], Failure>> {
            return readWith(deadline, () => inner.list(prefix, limit, afterKey, deadline));
        }
    }

    return {
        tableService: new FaultyService(),
        transactions,
        callCount: () => calls,
        script: (...faults) => {
            scripted.push(...faults.map(toFault));
        },
        setDefaultFault: fault => {
            defaultFault = toFault(fault);
        },
        setCallsPerSecond: limit => {
            callsPerSecond = limit;
        },
        releaseLateCommits: async () => {
            const released = lateCommits;
            lateCommits = [];
            const answers: TransactionAnswer[] = [];
            for (const transaction of released) {
                answers.push(await inner.transact(transaction, Number.POSITIVE_INFINITY));
            }
            return answers;
        },
    };
}

function toFault(fault: TableFault | TableFaultKind): TableFault {
    return typeof fault === "string" ? { kind: fault } : fault;
}

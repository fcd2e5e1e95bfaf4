import { createIdSource, ExecutionVerdict, type Failure, FailureReason, type JsonObject } from "daisyturn-utils";
import { mayHaveRun, MemoryEventLog, notRun } from "daisyturn-utils";
import assert from "node:assert/strict";
import Result from "true-myth/result";
import { createFakeIdentity } from "../../__fixtures__/fakePeerNetwork.js";
import type { ServiceAnswer, ServiceCall } from "../../ports/plainService.js";
import { absentVersion, RejectionCause, type Row, type Transaction } from "../../ports/tableService.js";
import { type TransactionAnswer, TransactionOutcome } from "../../ports/tableService.js";
import { ClaimRowState, parseClaimRow } from "../../process/claims/index.js";
import { type PeerHandler, type PeerMethod, PeerNetwork, type ProcessIdentity } from "../../process/peers/index.js";
import type { StoreClient } from "../../process/store/index.js";
import type { SendCall } from "../claims/claimManager.js";
import { createClaimManager, type ProcessClaimManager } from "../claims/createClaimManager.js";
import type { Choice, ExploredWorld } from "./exploreSchedules.js";
import { createScheduledProcesses, type ScheduledProcess } from "./scheduledProcesses.js";

/** A call that a caller makes in the simulated system. */
export interface WorldRequest {
    readonly processId: string;
    readonly body: string;
}

interface WorldProcess {
    readonly scheduled: ScheduledProcess;
    readonly identity: ProcessIdentity;
    readonly handlers: Map<PeerMethod, PeerHandler>;
    claimManager?: ProcessClaimManager;
}

interface WorldAttempt {
    readonly callId: string;
    readonly process: WorldProcess;
    error?: unknown;
    result?: Result<ServiceAnswer, Failure>;
}

const requestMilliseconds = 9_000;
const lastRequestMilliseconds = 60_000;
const limits = { sendWindowMilliseconds: 2_000, settleWaitMilliseconds: 4_000 };
const storeDown = notRun(FailureReason.StoreUnavailable, "the read failed");
const noReply = mayHaveRun(FailureReason.PeerUnavailable, "no reply");
const callLost = mayHaveRun(FailureReason.TargetFailed, "lost");
const callRefused = notRun(FailureReason.TargetRefused, "refused");
const noPermit = notRun(FailureReason.DeadlinePassed, "no permit");
const unknown: TransactionAnswer = { outcome: TransactionOutcome.Unknown };
const refused: TransactionAnswer = { outcome: TransactionOutcome.Rejected, cause: RejectionCause.NotSent };

/**
 * Creates claim managers of several processes with one table and one plain service. The explorer chooses for each
 * message whether it is delivered, delayed, lost or takes effect late. It kills, pauses and falsely suspects processes.
 */
export function createClaimWorld(requests: readonly WorldRequest[]): ExploredWorld {
    const schedule = createScheduledProcesses();
    const processes = new Map<string, WorldProcess>();
    const rows = new Map<string, Row>();
    const ran: ServiceCall[] = [];
    const attempts: WorldAttempt[] = [];
    const settledCalls = new Set<string>();
    const broken: string[] = [];
    let lastVersion = absentVersion;
    let wasCallLost = false;
    let wasRetried = false;

    const findFailed = ({ conditions }: Transaction) =>
        conditions.filter(({ key, expectedVersion }) => (rows.get(key)?.version ?? absentVersion) !== expectedVersion);

    const findConflicts = (transaction: Transaction) =>
        findFailed(transaction).flatMap(condition => rows.get(condition.key) ?? []);

    const apply = (transaction: Transaction): TransactionAnswer => {
        if (findFailed(transaction).length > 0) {
            const cause = RejectionCause.ConditionFailed;
            return { outcome: TransactionOutcome.Rejected, cause, conflicts: findConflicts(transaction) };
        }
        lastVersion += 1;
        for (const { key, value } of transaction.writes) {
            if (value === undefined) {
                rows.delete(key);
                continue;
            }
            rows.set(key, { key, value, version: lastVersion, writeId: transaction.writeId });
            const row = parseClaimRow(value);
            if (row.settledBy !== undefined) {
                settledCalls.add(row.requestId);
            }
        }
        return { outcome: TransactionOutcome.Committed, version: lastVersion };
    };

    const commit = (process: ScheduledProcess, transaction: Transaction, deadline: number) => {
        const effect = () => void apply(transaction);
        // The store client reports the conflicts of its last attempt, while an earlier one may still arrive.
        const runAndForget = (then: () => void): TransactionAnswer => {
            const conflicts = findConflicts(transaction);
            then();
            return { ...unknown, conflicts };
        };
        const answer = schedule.send<TransactionAnswer>({
            process,
            label: "write",
            effect,
            outcomes: [
                { label: "commits", run: () => apply(transaction) },
                { label: "commits, answer slow", run: () => apply(transaction), isSlow: true },
                { label: "commits, answer lost", run: () => runAndForget(effect) },
                { label: "takes effect late", run: () => runAndForget(() => schedule.doLater(effect)) },
                { label: "is lost", run: () => unknown },
                { label: "is refused", run: () => refused },
            ],
        });
        return Promise.race([answer, process.clock.sleepUntil(deadline).then(() => unknown)]);
    };

    const createStoreClient = (process: ScheduledProcess): StoreClient => ({
        commit: (...[transaction, , deadline]) => commit(process, transaction, deadline),
        read: keys =>
            schedule.send<Result<readonly Row[], Failure>>({
                process,
                label: "read",
                outcomes: [
                    { label: "answers", run: () => Result.ok(keys.flatMap(key => rows.get(key) ?? [])) },
                    { label: "fails", run: () => Result.err(storeDown) },
                ],
            }),
        list: () => Promise.reject(new Error("not used")),
        isAvailable: () => true,
        lastAnswerAt: () => undefined,
    });

    class WorldNetwork extends PeerNetwork {
        constructor(private readonly process: WorldProcess) {
            super();
        }

        override get self(): ProcessIdentity {
            return this.process.identity;
        }

        override async request(processId: string, method: PeerMethod, parameters: JsonObject, deadline: number) {
            const tooLate = this.process.scheduled.clock.sleepUntil(deadline).then(() => undefined);
            const answer = await Promise.race([this.exchange(processes.get(processId), method, parameters), tooLate]);
            return answer ? Result.ok<JsonObject, Failure>(answer) : Result.err<JsonObject, Failure>(noReply);
        }

        private async exchange(target: WorldProcess | undefined, method: PeerMethod, parameters: JsonObject) {
            const outcomes = [{ label: "arrives", run: () => true }, { label: "is lost", run: () => false }];
            const arrives = await schedule.send({
                process: this.process.scheduled,
                label: "inquiry",
                outcomes,
            });
            const handler = target?.scheduled.isLive ? target.handlers.get(method) : undefined;
            if (!arrives || !target || !handler) {
                return new Promise<undefined>(() => undefined);
            }
            await schedule.awaitRunning(target.scheduled);
            const answer = await handler(this.self, parameters);
            const isBack = await schedule.send({ process: target.scheduled, label: "reply", outcomes });
            return isBack ? answer : new Promise<undefined>(() => undefined);
        }

        override notify(): void {
            throw new Error("not used");
        }

        override handle(method: PeerMethod, handler: PeerHandler): void {
            this.process.handlers.set(method, handler);
        }
    }

    const start = (processId: string): WorldProcess => {
        const identity = createFakeIdentity(processId);
        const process: WorldProcess = { scheduled: schedule.start(processId), identity, handlers: new Map() };
        processes.set(processId, process);
        process.claimManager = createClaimManager({
            self: identity,
            storeClient: createStoreClient(process.scheduled),
            network: new WorldNetwork(process),
            membership: {
                others: () => [],
                livePeers: () => [],
                hasEnded: other => schedule.isPresumedEnded(other.processId),
                hasMajorityContact: () => true,
                onChange: () => undefined,
            },
            clock: process.scheduled.clock,
            ids: createIdSource(identity.incarnation),
            eventLog: new MemoryEventLog(),
            limits,
        });
        return process;
    };

    const execute = (call: ServiceCall): ServiceAnswer => {
        ran.push(call);
        return { status: 201, contentType: "text/plain", body: `run of ${call.callId}` };
    };

    const createSend = (process: ScheduledProcess): SendCall => async (call, permit) => {
        await schedule.send({ process, label: "connection", outcomes: [{ label: "opens", run: () => undefined }] });
        if (!permit.isValid()) {
            return Result.err(noPermit);
        }
        if (settledCalls.has(call.callId)) {
            broken.push(`${call.callId} is sent after another process settled it`);
        }
        const effect = () => void execute(call);
        const loseAnswer = (then: () => void): Result<ServiceAnswer, Failure> => {
            wasCallLost = true;
            then();
            return Result.err(callLost);
        };
        return schedule.send<Result<ServiceAnswer, Failure>>({
            process,
            label: "call",
            effect,
            outcomes: [
                { label: "runs", run: () => Result.ok(execute(call)) },
                { label: "runs, answer slow", run: () => Result.ok(execute(call)), isSlow: true },
                { label: "is refused", run: () => Result.err(callRefused) },
                { label: "runs, answer lost", run: () => loseAnswer(effect) },
                { label: "runs late", run: () => loseAnswer(() => schedule.doLater(effect)) },
            ],
        });
    };

    const ask = (process: WorldProcess, body: string, length: number) => {
        const attempt: WorldAttempt = { callId: `call-${attempts.length}`, process };
        attempts.push(attempt);
        const deadline = schedule.now() + length;
        const call = { callId: attempt.callId, method: "POST", path: "/", body, deadline };
        const names = { partner: "p", account: "a", service: "s", idempotencyKey: "k" };
        process.claimManager?.runOnce(
            { requestId: call.callId, ...names, call, deadline },
            createSend(process.scheduled),
        )
            .then(
                result => recordResult(attempt, result),
                (error: unknown) => attempt.error = error,
            );
    };

    const recordResult = (attempt: WorldAttempt, result: Result<ServiceAnswer, Failure>) => {
        attempt.result = result;
        const isRetryOffered = result.isErr && [callRefused, noPermit].includes(result.error);
        const isStillClaimed = [...rows.values()].map(row => parseClaimRow(row.value))
            .some(row => row.requestId === attempt.callId && row.state === ClaimRowState.Claimed);
        if (isRetryOffered && isStillClaimed) {
            broken.push(`${attempt.callId} was offered a retry while its key is still claimed`);
        }
    };

    const listChoices = (): Choice[] => {
        const events = schedule.listEvents().map((event, index) => ({ ...event, cost: index }));
        if (wasRetried) {
            return events.slice(0, 1);
        }
        if (events.length === 0) {
            return [{ label: "a last request, undisturbed", cost: 0, run: retry }];
        }
        return [...events, ...schedule.listFaults().map(fault => ({ ...fault, cost: 1 }))];
    };

    const retry = () => {
        wasRetried = true;
        ask(start("last"), "seat 4", lastRequestMilliseconds);
    };

    const check = async () => {
        assert.deepEqual(broken, []);
        assert.ok(ran.length <= 1, `the call ran ${ran.length} times`);
        attempts.forEach(checkAttempt);
        const last = attempts.at(-1)?.result;
        const failure = last?.isErr ? last.error : undefined;
        assert.ok(
            !failure || isAllowedUnknown(failure) || failure.reason === FailureReason.IdempotencyKeyReused,
            `the last request failed: ${failure?.message}`,
        );
    };

    const checkAttempt = ({ callId, process, result, error }: WorldAttempt) => {
        assert.ifError(error);
        assert.ok(result || !process.scheduled.isLive, "a caller received no answer");
        if (result?.isOk) {
            assert.equal(result.value.body, `run of ${ran[0]?.callId}`, "an answer does not belong to the run");
        }
        else if (result?.error.verdict === ExecutionVerdict.NotRun) {
            assert.ok(!ran.some(call => call.callId === callId), `${callId} ran but was reported as not run`);
        }
        else if (result?.error.reason === FailureReason.OutcomeUnknown) {
            assert.ok(
                isAllowedUnknown(result.error),
                `nothing was lost, but ${callId} failed: ${result.error.message}`,
            );
        }
    };

    /** An unknown outcome is allowed only after a lost call or the actual or presumed end of a process. */
    const isAllowedUnknown = (failure: Failure) =>
        failure.reason === FailureReason.OutcomeUnknown && failure.verdict === ExecutionVerdict.MayHaveRun
        && (wasCallLost || schedule.wasDisturbed());

    for (const { processId, body } of requests) {
        ask(processes.get(processId) ?? start(processId), body, requestMilliseconds);
    }
    return { listChoices, check, settle: schedule.settle };
}

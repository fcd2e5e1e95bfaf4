import { ExecutionVerdict, type Failure, FailureReason, mayHaveRun, notRun } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import Result from "true-myth/result";
import { createFakeIdentity } from "../../../__fixtures__/fakePeerNetwork.js";
import { TableFaultKind } from "../../../ports/faultyTableService.js";
import type { ServiceAnswer } from "../../../ports/plainService.js";
import { type ClaimRow, ClaimRowState, defaultClaimLimits } from "../../../process/claims/index.js";
import { formatClaimRow, formatClaimRowKey, hashCall } from "../../../process/claims/index.js";
import { createClaimBench, createClaimRequest, firstAnswer } from "../../__fixtures__/createClaimBench.js";
import { ClaimState, type SendCall } from "../claimManager.js";

const refusal = notRun(FailureReason.TargetRefused, "busy");
const lost = mayHaveRun(FailureReason.TargetFailed, "reset");

function failureOf(result: Result<unknown, Failure>): Failure {
    assert.ok(result.isErr);
    return result.error;
}

/** Creates a send that stays pending until the test ends it. */
function createPendingSend() {
    let end: (result: Result<ServiceAnswer, Failure>) => void = () => undefined;
    const result = new Promise<Result<ServiceAnswer, Failure>>(resolve => {
        end = resolve;
    });
    const send: SendCall = () => result;
    return { send, end };
}

describe("createClaimManager", () => {
    it("sends once and replays the recorded answer at another process", async () => {
        const { clock, startManager, send, ran, readRow } = createClaimBench();
        const first = await startManager("p").runOnce(createClaimRequest(clock), send);
        await clock.advance(100);
        assert.equal((await readRow())?.state, ClaimRowState.Answered);
        const second = await startManager("q").runOnce(createClaimRequest(clock), send);
        assert.deepEqual([first, second], [Result.ok(firstAnswer), Result.ok(firstAnswer)]);
        assert.equal(ran.length, 1);
    });

    it("refuses the key with another body, even while the first call runs", async () => {
        const { clock, startManager, send } = createClaimBench();
        const claimManagers = [startManager("p"), startManager("q")];
        const pending = createPendingSend();
        const running = claimManagers[0]?.runOnce(createClaimRequest(clock), pending.send);
        await clock.advance(1);
        for (const claimManager of claimManagers) {
            const other = await claimManager.runOnce(createClaimRequest(clock, { body: "seat 5" }), send);
            assert.equal(failureOf(other).reason, FailureReason.IdempotencyKeyReused);
            assert.equal(failureOf(other).verdict, ExecutionVerdict.NotRun);
        }
        pending.end(Result.ok(firstAnswer));
        await running;
    });

    it("refuses malformed keys", async () => {
        const { clock, startManager, send } = createClaimBench();
        for (const idempotencyKey of ["", "a b", "x".repeat(256), "\ud800"]) {
            const result = await startManager("p").runOnce(createClaimRequest(clock, { idempotencyKey }), send);
            assert.equal(failureOf(result).reason, FailureReason.BadRequest);
        }
    });

    it("gives the answer of a running call to concurrent requests in the same process and in another", async () => {
        const { clock, startManager, send, ran } = createClaimBench();
        const [p, q] = [startManager("p"), startManager("q")];
        const pending = createPendingSend();
        const all = [pending.send, send].map(each => p.runOnce(createClaimRequest(clock), each));
        await clock.advance(1);
        all.push(p.runOnce(createClaimRequest(clock), send), q.runOnce(createClaimRequest(clock), send));
        await clock.advance(3_000);
        pending.end(Result.ok(firstAnswer));
        await clock.advance(1);
        assert.deepEqual(await Promise.all(all), Array(4).fill(Result.ok(firstAnswer)));
        assert.equal(ran.length, 0);
    });

    it("reports a call that runs beyond the deadline of a second request as running, not as not run", async () => {
        const { clock, startManager, send } = createClaimBench();
        const [p, q] = [startManager("p"), startManager("q")];
        void p.runOnce(createClaimRequest(clock), createPendingSend().send);
        await clock.advance(1);
        const requested = [p, q].map(claimManager =>
            claimManager.runOnce(createClaimRequest(clock, { deadline: 2_000 }), send)
        );
        await clock.advance(5_000);
        for (const failure of (await Promise.all(requested)).map(failureOf)) {
            assert.equal(failure.reason, FailureReason.AlreadyRunning);
            assert.equal(failure.verdict, ExecutionVerdict.MayHaveRun);
            assert.ok(failure.retryAt);
        }
        const view = q.lookUp("p", "a", "s", "key/1");
        await clock.advance(1_000);
        assert.deepEqual(await view, Result.ok({ state: ClaimState.Claimed }));
    });

    it("frees the key after a send that did not run", async () => {
        const { clock, startManager, send, createFailingSend } = createClaimBench();
        const first = await startManager("p").runOnce(createClaimRequest(clock), createFailingSend(refusal, false));
        const second = await startManager("q").runOnce(createClaimRequest(clock, { body: "seat 5" }), send);
        assert.deepEqual([first, second], [Result.err(refusal), Result.ok(firstAnswer)]);
    });

    it("never sends again after a send that may have run", async () => {
        const { clock, startManager, send, createFailingSend, ran } = createClaimBench();
        const first = await startManager("p").runOnce(createClaimRequest(clock), createFailingSend(lost, true));
        await clock.advance(100);
        const q = startManager("q");
        const second = await q.runOnce(createClaimRequest(clock), send);
        assert.deepEqual(first, Result.err(lost));
        assert.equal(failureOf(second).verdict, ExecutionVerdict.MayHaveRun);
        assert.equal(ran.length, 1);
        assert.deepEqual(await q.lookUp("p", "a", "s", "key/1"), Result.ok({ state: ClaimState.Unknown }));
    });

    it("treats a send that throws as one that may have run", async () => {
        const { clock, startManager, readRow } = createClaimBench();
        const result = await startManager("p").runOnce(
            createClaimRequest(clock),
            () => Promise.reject(new Error("bug")),
        );
        await clock.advance(100);
        assert.equal(failureOf(result).verdict, ExecutionVerdict.MayHaveRun);
        assert.equal((await readRow())?.state, ClaimRowState.Unknown);
    });

    it("refuses calls as not run while the store is down", async () => {
        const { clock, table, startManager, send, ran } = createClaimBench();
        table.setDefaultFault(TableFaultKind.ConnectionRefused);
        const running = startManager("p").runOnce(createClaimRequest(clock), send);
        await clock.advance(10_000);
        const failure = failureOf(await running);
        assert.equal(failure.verdict, ExecutionVerdict.NotRun);
        assert.equal(failure.reason, FailureReason.StoreUnavailable);
        assert.ok(failure.retryAt);
        assert.equal(ran.length, 0);
    });

    it("sends the call when the answer to the claim's write is lost after the commit", async () => {
        const { clock, table, startManager, send, ran } = createClaimBench();
        table.script(TableFaultKind.BreakAfterCommit);
        const running = startManager("p").runOnce(createClaimRequest(clock), send);
        await clock.advance(1_000);
        assert.deepEqual(await running, Result.ok(firstAnswer));
        assert.equal(ran.length, 1);
    });

    it("does not send under a claim that commits too late, and frees the key", async () => {
        const { clock, table, startManager, send, ran, readRow } = createClaimBench();
        const p = startManager("p");
        table.setDefaultFault(TableFaultKind.CommitLate);
        const running = p.runOnce(createClaimRequest(clock), send);
        await clock.advance(10_000);
        const failure = failureOf(await running);
        assert.equal(failure.verdict, ExecutionVerdict.NotRun);
        assert.equal(failure.reason, FailureReason.OutcomeUnknown);
        table.setDefaultFault(TableFaultKind.None);
        await table.releaseLateCommits();
        assert.equal(await p.drain(clock.monotonicNow()), false);
        await clock.advance(20_000);
        assert.equal((await readRow())?.state, ClaimRowState.Free);
        assert.equal(await p.drain(clock.monotonicNow() + 1), true);
        assert.deepEqual(await startManager("q").runOnce(createClaimRequest(clock), send), Result.ok(firstAnswer));
        assert.equal(ran.length, 1);
    });

    it("does not offer a retry before the key is free", async () => {
        const { clock, table, startManager, createFailingSend, readRow } = createClaimBench();
        const p = startManager("p");
        table.script(TableFaultKind.None);
        table.setDefaultFault(TableFaultKind.ConnectionRefused);
        const running = p.runOnce(createClaimRequest(clock), createFailingSend(refusal, false));
        await clock.advance(10_000);
        const failure = failureOf(await running);
        assert.equal(failure.verdict, ExecutionVerdict.NotRun);
        assert.equal(failure.reason, FailureReason.OutcomeUnknown);
        assert.equal(p.countUnsettled(), 1);
        table.setDefaultFault(TableFaultKind.None);
        await clock.advance(10_000);
        assert.equal((await readRow())?.state, ClaimRowState.Free);
        assert.equal(p.countUnsettled(), 0);
    });

    it("answers at once and records after an outage of the store", async () => {
        const { clock, table, startManager, send, readRow } = createClaimBench();
        table.script(TableFaultKind.None);
        table.setDefaultFault(TableFaultKind.ConnectionRefused);
        const first = await startManager("p").runOnce(createClaimRequest(clock), send);
        assert.deepEqual(first, Result.ok(firstAnswer));
        await clock.advance(60_000);
        assert.equal((await readRow())?.state, ClaimRowState.Claimed);
        table.setDefaultFault(TableFaultKind.None);
        await clock.advance(10_000);
        assert.equal((await readRow())?.state, ClaimRowState.Answered);
    });

    it("does not send after the end of the send window, for example when the process was paused", async () => {
        const { clock, table, startManager, send, ran, readRow } = createClaimBench();
        const delayMilliseconds = defaultClaimLimits.sendWindowMilliseconds;
        table.script({ kind: TableFaultKind.Delayed, delayMilliseconds: 400 });
        const p = startManager("p");
        const pending = createPendingSend();
        const sendLater: SendCall = async (call, permit) => {
            await clock.sleepUntil(delayMilliseconds);
            return permit.isValid() ? pending.send(call, permit) : Result.err(refusal);
        };
        const running = p.runOnce(createClaimRequest(clock), sendLater);
        await clock.advance(20_000);
        assert.deepEqual(await running, Result.err(refusal));
        assert.equal((await readRow())?.state, ClaimRowState.Free);
        assert.deepEqual(await startManager("q").runOnce(createClaimRequest(clock), send), Result.ok(firstAnswer));
        assert.equal(ran.length, 1);
    });

    it("does not send after a VM suspension that stopped the monotonic clock", async () => {
        const { clock, startManager, ran } = createClaimBench();
        const result = await startManager("p").runOnce(createClaimRequest(clock), (...[, permit]) => {
            clock.jumpWall(defaultClaimLimits.sendWindowMilliseconds);
            return Promise.resolve(permit.isValid() ? Result.ok(firstAnswer) : Result.err(refusal));
        });
        assert.deepEqual(result, Result.err(refusal));
        assert.equal(ran.length, 0);
    });

    it("settles the claim of a killed process as unknown, only with proof of its end and after the wait", async () => {
        const { clock, startManager, send, endProcess, networks, ran, readRow } = createClaimBench();
        const p = createFakeIdentity("p");
        void startManager("p").runOnce(createClaimRequest(clock), createPendingSend().send);
        await clock.advance(1);
        networks.isolate("p");
        const q = startManager("q");
        const request = async () => {
            const requested = q.runOnce(createClaimRequest(clock, { deadline: clock.monotonicNow() + 1_000 }), send);
            await clock.advance(1_000);
            return failureOf(await requested).reason;
        };
        assert.equal(await request(), FailureReason.AlreadyRunning);
        await clock.advance(defaultClaimLimits.settleWaitMilliseconds);
        assert.equal(await request(), FailureReason.AlreadyRunning, "without proof");
        endProcess(p);
        assert.equal(await request(), FailureReason.OutcomeUnknown);
        const row = await readRow();
        assert.deepEqual([row?.state, row?.settledBy], [ClaimRowState.Unknown, "q"]);
        assert.equal(ran.length, 0);
    });

    it("waits before it settles a claim even with proof that the owner has ended", async () => {
        const { clock, startManager, send, endProcess } = createClaimBench();
        void startManager("p").runOnce(createClaimRequest(clock), createPendingSend().send);
        await clock.advance(1);
        endProcess(createFakeIdentity("p"));
        const requested = startManager("q").runOnce(createClaimRequest(clock, { deadline: 40_000 }), send);
        let isAnswered = false;
        void requested.then(() => {
            isAnswered = true;
        });
        await clock.advance(defaultClaimLimits.settleWaitMilliseconds - 10);
        assert.equal(isAnswered, false);
        await clock.advance(1_000);
        assert.equal(failureOf(await requested).reason, FailureReason.OutcomeUnknown);
    });

    it("settles at once a claim that its live owner does not know, as after a late copy of an old write", async () => {
        const { clock, table, startManager, send, ran } = createClaimBench();
        startManager("p");
        const request = createClaimRequest(clock);
        const row: ClaimRow = {
            state: ClaimRowState.Claimed,
            claimId: "clm-old",
            requestId: "req-old",
            callHash: hashCall(request.call),
            owner: createFakeIdentity("p"),
        };
        const writes = [{ key: formatClaimRowKey(request), value: formatClaimRow(row) }];
        await table.tableService.transact({ writeId: "old", conditions: [], writes }, Infinity);
        const result = await startManager("q").runOnce(request, send);
        assert.equal(failureOf(result).reason, FailureReason.OutcomeUnknown);
        assert.equal(ran.length, 0);
    });

    it("replaces the Unknown of a process that presumed the owner ended by the answer", async () => {
        const { clock, startManager, send, endProcess, readRow } = createClaimBench();
        const pending = createPendingSend();
        const running = startManager("p").runOnce(createClaimRequest(clock), pending.send);
        await clock.advance(1);
        endProcess(createFakeIdentity("p"));
        const requested = startManager("q").runOnce(createClaimRequest(clock, { deadline: 40_000 }), send);
        await clock.advance(20_000);
        assert.equal(failureOf(await requested).reason, FailureReason.OutcomeUnknown);
        pending.end(Result.ok(firstAnswer));
        assert.deepEqual(await running, Result.ok(firstAnswer));
        await clock.advance(1_000);
        assert.equal((await readRow())?.state, ClaimRowState.Answered);
    });

    it("does not store an answer that is too large, and reports that", async () => {
        const { clock, startManager, send } = createClaimBench();
        const large = { ...firstAnswer, body: "x".repeat(defaultClaimLimits.keptAnswerBytes + 1) };
        const first = await startManager("p").runOnce(
            createClaimRequest(clock),
            () => Promise.resolve(Result.ok(large)),
        );
        await clock.advance(100);
        const q = startManager("q");
        const second = await q.runOnce(createClaimRequest(clock), send);
        assert.deepEqual(first, Result.ok(large));
        assert.equal(failureOf(second).reason, FailureReason.BodyTooLarge);
        assert.equal(failureOf(second).verdict, ExecutionVerdict.MayHaveRun);
        assert.deepEqual(await q.lookUp("p", "a", "s", "key/1"), Result.ok({ state: ClaimState.AnsweredNotKept }));
    });

    it("looks up answered and absent keys", async () => {
        const { clock, startManager, send } = createClaimBench();
        const p = startManager("p");
        assert.deepEqual(await p.lookUp("p", "a", "s", "key/1"), Result.ok({ state: ClaimState.Absent }));
        await p.runOnce(createClaimRequest(clock), send);
        const answered = Result.ok({ state: ClaimState.Answered, answer: firstAnswer });
        assert.deepEqual(await p.lookUp("p", "a", "s", "key/1"), answered);
        await clock.advance(100);
        assert.deepEqual(await startManager("q").lookUp("p", "a", "s", "key/1"), answered);
    });
});

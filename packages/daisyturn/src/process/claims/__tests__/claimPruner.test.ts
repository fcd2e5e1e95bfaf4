import { Clock } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createFakeIdentity } from "../../../__fixtures__/fakePeerNetwork.js";
import { createClaimBench, createClaimRequest } from "../../../request/__fixtures__/createClaimBench.js";
import { defaultClaimLimits } from "../claimLimits.js";
import type { ClaimPruner } from "../claimPruner.js";
import { ClaimRowState } from "../claimRow.js";

const passMilliseconds = 10 * 60_000;

/** A clock whose wall time is two days ahead; its monotonic time is correct. */
class AheadClock extends Clock {
    constructor(private readonly accurateClock: Clock) {
        super();
    }

    override monotonicNow(): number {
        return this.accurateClock.monotonicNow();
    }

    override wallNow(): number {
        return this.accurateClock.wallNow() + 2 * defaultClaimLimits.answeredRetentionMilliseconds;
    }

    override sleepUntil(deadline: number, signal?: AbortSignal): Promise<void> {
        return this.accurateClock.sleepUntil(deadline, signal);
    }
}

async function runTurn(pruner: ClaimPruner): Promise<number> {
    const turn = await pruner.runTurn();
    assert.ok(turn.isOk);
    return turn.value.deleted;
}

describe("createClaimPruner", () => {
    it("deletes rows once they have expired by its own clock and by that of the last pass", async () => {
        const { clock, startManager, startPruner, send, readRow } = createClaimBench();
        await startManager("p").runOnce(createClaimRequest(clock), send);
        await clock.advance(100);
        const pruner = startPruner("q");
        assert.equal(await runTurn(pruner), 0);
        await clock.advance(defaultClaimLimits.answeredRetentionMilliseconds);
        assert.equal(await runTurn(pruner), 0, "the last pass started a day ago");
        assert.ok(await readRow());
        await clock.advance(passMilliseconds);
        assert.equal(await runTurn(pruner), 1);
        assert.equal(await readRow(), undefined);
    });

    it("deletes nothing if only one clock is ahead", async () => {
        const { clock, startManager, startPruner, send, readRow } = createClaimBench();
        await startManager("p").runOnce(createClaimRequest(clock), send);
        await clock.advance(100);
        const [accurate, ahead] = [startPruner("q"), startPruner("r", new AheadClock(clock))];
        for (let pass = 0; pass < 3; pass++) {
            assert.equal(await runTurn(accurate), 0);
            await clock.advance(passMilliseconds);
            assert.equal(await runTurn(ahead), 0);
            await clock.advance(passMilliseconds);
        }
        assert.ok(await readRow());
    });

    it("prunes many rows in several turns of different processes", async () => {
        const { clock, startManager, startPruner, send } = createClaimBench();
        const p = startManager("p");
        const keys = Array.from({ length: 1_250 }, (...[, index]) => `k${index}`);
        const calls = keys.map(idempotencyKey => p.runOnce(createClaimRequest(clock, { idempotencyKey }), send));
        await clock.advance(10_000);
        await Promise.all(calls);
        const pruners = [startPruner("q"), startPruner("r")];
        await clock.advance(defaultClaimLimits.answeredRetentionMilliseconds + passMilliseconds);
        const deleted: number[] = [];
        for (let turn = 0; turn < 6; turn++) {
            await clock.advance(passMilliseconds);
            const running = pruners[turn % 2]?.runTurn();
            await clock.advance(passMilliseconds);
            deleted.push((await running)?.unwrapOr({ examined: 0, deleted: 0 }).deleted ?? 0);
        }
        assert.deepEqual(deleted, [0, 0, 1_000, 250, 0, 0]);
    });

    it("settles the abandoned claim of an ended process, and does not settle that of a live one", async () => {
        const { clock, startManager, startPruner, endProcess, readRow } = createClaimBench();
        void startManager("p").runOnce(createClaimRequest(clock), () => new Promise(() => undefined));
        await clock.advance(1);
        const pruner = startPruner("q");
        for (const expected of [ClaimRowState.Claimed, ClaimRowState.Claimed]) {
            await runTurn(pruner);
            await clock.advance(passMilliseconds);
            assert.equal((await readRow())?.state, expected);
        }
        endProcess(createFakeIdentity("p"));
        for (const expected of [ClaimRowState.Claimed, ClaimRowState.Unknown]) {
            await runTurn(pruner);
            await clock.advance(passMilliseconds);
            assert.equal((await readRow())?.state, expected);
        }
    });
});

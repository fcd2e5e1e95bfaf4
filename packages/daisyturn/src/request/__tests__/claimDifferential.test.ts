import { FailureReason, mayHaveRun, notRun } from "daisyturn-utils";
import * as fc from "fast-check";
import assert from "node:assert/strict";
import { it } from "node:test";
import Result from "true-myth/result";
import { TableFaultKind } from "../../ports/faultyTableService.js";
import { createClaimBench, createClaimRequest } from "../__fixtures__/createClaimBench.js";
import { createNaiveClaimManager } from "../__fixtures__/createNaiveClaimManager.js";
import type { SendCall } from "../claims/claimManager.js";

enum SendOutcome {
    Answered = "answered",
    NotRun = "not_run",
    MayHaveRun = "may_have_run",
}

const callArbitrary = fc.record({
    process: fc.constantFrom("p", "q", "r"),
    key: fc.constantFrom("k", "l", "k/l"),
    body: fc.constantFrom("seat 4", "seat 5"),
    outcome: fc.constantFrom(...Object.values(SendOutcome)),
    // Faults that the store client handles. They must not change any answer to a caller.
    fault: fc.constantFrom(TableFaultKind.None, TableFaultKind.BreakAfterCommit, TableFaultKind.BreakBeforeCommit),
});

/** Creates sends with given outcomes that number their answers. */
function createSend() {
    let sends = 0;
    const create = (outcome: SendOutcome): SendCall => call => {
        sends += 1;
        switch (outcome) {
            case SendOutcome.Answered:
                return Promise.resolve(Result.ok({ status: 201, contentType: "", body: `${sends}: ${call.body}` }));
            case SendOutcome.NotRun:
                return Promise.resolve(Result.err(notRun(FailureReason.TargetRefused, `refused ${sends}`)));
            case SendOutcome.MayHaveRun:
                return Promise.resolve(Result.err(mayHaveRun(FailureReason.TargetFailed, `lost ${sends}`)));
        }
    };
    return { create, countSends: () => sends };
}

it("several processes over one table answer like a single process that never fails", async () => {
    await fc.assert(
        fc.asyncProperty(fc.array(callArbitrary, { minLength: 1, maxLength: 12 }), async calls => {
            const bench = createClaimBench();
            const claimManagers = new Map(["p", "q", "r"].map(name => [name, bench.startManager(name)]));
            const naive = createNaiveClaimManager();
            const [realSend, naiveSend] = [createSend(), createSend()];
            for (const { process, key, body, outcome, fault } of calls) {
                const request = createClaimRequest(bench.clock, { idempotencyKey: key, body });
                const expected = await naive.runOnce(request, naiveSend.create(outcome));
                bench.table.script(fault);
                const running = claimManagers.get(process)?.runOnce(request, realSend.create(outcome));
                await bench.clock.advance(2_000);
                assert.deepEqual(await running, expected);
            }
            assert.equal(realSend.countSends(), naiveSend.countSends());
        }),
        { numRuns: 60, seed: 1 },
    );
});

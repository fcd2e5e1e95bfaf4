import { ExecutionVerdict, FailureReason } from "daisyturn-utils";
import assert from "node:assert/strict";
import { it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { buildRequest, failureOf, startEngineCase } from "../__fixtures__/engineCase.js";
import { type RawRequest, writeAnswer } from "../__fixtures__/startRawTarget.js";

const refusal = JSON.stringify({ verdict: ExecutionVerdict.NotRun, reason: FailureReason.Overloaded, message: "full" });

// Guards against a request that runs although it was refused: the copy of another request's refusal was taken for its answer.
it("the copy of a refusal is not taken for the answer to the next request", async test => {
    const runs: RawRequest[] = [];
    let refused: RawRequest | undefined;
    const { clock, engine } = await startEngineCase(test, request => {
        if (!refused) {
            refused = request;
            writeAnswer(request.socket, 503, refusal);
            return;
        }
        runs.push(request);
        if (request.socket === refused.socket) {
            writeAnswer(request.socket, 503, refusal);
            return;
        }
        request.socket.destroy();
    });
    assert.equal(failureOf(await engine.generate(buildRequest(clock), test.signal)), "overloaded/not_run");
    // The connection is free for the next request after a turn of the event loop.
    await sleep(20);
    const next = await engine.generate(buildRequest(clock, { streamId: "st-2" }), test.signal);
    assert.equal(runs.length, 1);
    assert.equal(failureOf(next), "target_failed/may_have_run");
});

import { EventKind, FakeClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { ok } from "true-myth/result";
import type { StreamEvent } from "../../../ports/engine.js";
import { postCompletion, readStream, waitUntil } from "../__fixtures__/callerRequests.js";
import { createCallerBench } from "../__fixtures__/createCallerBench.js";
import { answerText, yieldAnswer, yieldTokens, yieldUntilCancelled } from "../__fixtures__/createScriptedEngine.js";

const noticeMilliseconds = 5_000;
const limits = { balancerNoticeMilliseconds: noticeMilliseconds };

describe("draining", () => {
    test("becomes not ready, then refuses requests, then stops, and completes running requests", async () => {
        const clock = new FakeClock();
        const bench = await createCallerBench({ clock, limits });
        let release: () => void = () => undefined;
        const released = new Promise<void>(resolve => {
            release = resolve;
        });
        const paused = async function*(): AsyncGenerator<StreamEvent> {
            yield* yieldTokens(0, 2);
            await released;
            yield* yieldAnswer(2, 8);
        };
        bench.engines[0].script = [() => ok(paused()), () => ok(yieldAnswer(0, 8))];
        const running = await postCompletion(bench.url, { stream: true });

        const drained = bench.server.drain(clock.monotonicNow() + 60_000);
        assert.equal((await fetch(`${bench.url}/readyz`)).status, 503);
        assert.equal((await fetch(`${bench.url}/healthz`)).status, 200);
        const accepted = await postCompletion(bench.url, {});
        assert.deepEqual([accepted.status, accepted.headers.get("connection")], [200, "close"]);

        await clock.advance(noticeMilliseconds);
        const refused = await postCompletion(bench.url, {});
        assert.deepEqual([refused.status, refused.headers.get("connection")], [503, "close"]);
        assert.equal(refused.headers.get("retry-after"), "1");
        const { error } = await refused.json() as { error: { code: string; verdict: string; }; };
        assert.deepEqual([error.code, error.verdict], ["out_of_service", "not_run"]);

        release();
        assert.equal(readStream(await running.text()).text, answerText(8));
        await drained;
        await assert.rejects(fetch(`${bench.url}/healthz`));
        assert.equal(bench.eventLog.of(EventKind.ProcessDraining).length, 1);
    });

    // Guards against calls that end without an answer, because all connections are closed right after the calls.
    test("tells the callers of calls that still run at the deadline that these may have run", async () => {
        const clock = new FakeClock();
        const bench = await createCallerBench({ clock, limits });
        bench.engines[0].script = [(request, signal) => ok(yieldUntilCancelled(0, 0, signal))];
        const running = [true, false, true, false].map(stream => postCompletion(bench.url, { stream }));
        await waitUntil(() => bench.admitted() === running.length);
        const drained = bench.server.drain(clock.monotonicNow() + noticeMilliseconds + 100);
        await clock.advance(noticeMilliseconds + 100);
        await drained;
        const answers = await Promise.all(running);
        assert.deepEqual(new Set(answers.map(({ status }) => status)), new Set([502]));
    });

    test("aborts requests that still run at the deadline and cancels them on the engine", async () => {
        const clock = new FakeClock();
        const bench = await createCallerBench({ clock, limits });
        bench.engines[0].script = [(request, signal) => ok(yieldUntilCancelled(0, 2, signal))];
        const running = await postCompletion(bench.url, { stream: true });
        const drained = bench.server.drain(clock.monotonicNow() + noticeMilliseconds + 100);
        await clock.advance(noticeMilliseconds + 100);
        await drained;
        const { errorCode, isDone } = readStream(await running.text());
        assert.deepEqual([errorCode, isDone], ["out_of_service", false]);
        await waitUntil(() => bench.engines[0].cancelled.length === 1);
        await waitUntil(() => bench.admitted() === 0);
        assert.equal(bench.eventLog.of(EventKind.RequestFailed)[0]?.fields.reason, "out_of_service");
    });
});

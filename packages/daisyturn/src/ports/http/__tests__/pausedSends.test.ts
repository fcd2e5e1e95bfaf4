import { FakeClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { createPausedBarrier } from "../../../connection/__fixtures__/pausedBarrier.js";
import { createTestDispatcher } from "../__fixtures__/engineCase.js";
import { startRawTarget, writeAnswer } from "../__fixtures__/startRawTarget.js";
import { createHttpPlainService } from "../createHttpPlainService.js";

/** Sends two calls over one connection; the process is paused while the second waits for it. */
async function sendAfterPause(test: TestContext, onRead: () => void, signal: AbortSignal) {
    const clock = new FakeClock();
    const target = await startRawTarget(test, {
        onRequest: ({ socket }) => writeAnswer(socket, 200, "ok", { "x-call-id": "call-1" }),
    });
    const readBarrier = createPausedBarrier(onRead);
    const dispatcher = createTestDispatcher(test);
    const service = createHttpPlainService({ targetId: "desk-1", url: target.url, clock, dispatcher, readBarrier });
    const invoke = (path: string) =>
        service.invoke({ callId: "call-1", method: "POST", path, body: "", deadline: clock.wallNow() + 1_000 }, signal);
    assert.ok((await invoke("/first")).isOk);
    const second = invoke("/second");
    await Promise.resolve();
    readBarrier.pause();
    const answer = await second;
    return { isAnswered: answer.isOk, lines: target.requests.map(({ line }) => line) };
}

// Guards against requests that reach a target after a pause although their caller left during it.
test("a call that waits for its connection during a pause is not sent if its caller has left", async context => {
    const caller = new AbortController();
    const { isAnswered, lines } = await sendAfterPause(context, () => caller.abort(), caller.signal);
    assert.deepEqual({ isAnswered, lines }, { isAnswered: false, lines: ["POST /first"] });
});

// Guards against calls that fail because their process was paused.
test("a call that waits for its connection during a pause is sent after the next read", async context => {
    let reads = 0;
    const { isAnswered, lines } = await sendAfterPause(context, () => void reads++, new AbortController().signal);
    assert.deepEqual({ isAnswered, lines, reads }, {
        isAnswered: true,
        lines: ["POST /first", "POST /second"],
        reads: 1,
    });
});

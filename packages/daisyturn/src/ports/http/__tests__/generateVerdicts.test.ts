import { ExecutionVerdict, FailureReason, FakeClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it, type TestContext } from "node:test";
import { buildConnector } from "undici";
import {
    buildRequest,
    createConnectingDispatcher,
    createTestDispatcher,
    failureOf,
    startEngineCase,
} from "../__fixtures__/engineCase.js";
import { findClosedUrl, type RawScript, startRawTarget, writeAnswer } from "../__fixtures__/startRawTarget.js";
import { createHttpEngine } from "../createHttpEngine.js";

const refusal = { verdict: ExecutionVerdict.NotRun, reason: FailureReason.Overloaded, message: "full", retryAt: 17 };
/** undici requires this argument in addition to an error. */
// eslint-disable-next-line no-restricted-syntax
const noSocket = null;

function createUnconnectedEngine(test: TestContext, connect: buildConnector.connector) {
    const clock = new FakeClock();
    const dispatcher = createConnectingDispatcher(test, connect);
    return { clock, engine: createHttpEngine({ engineId: "engine-1", url: "http://127.0.0.1:9", clock, dispatcher }) };
}

describe("verdicts of generate before the engine has accepted", () => {
    it("is NotRun when the connection is refused", async test => {
        const clock = new FakeClock();
        const url = await findClosedUrl();
        const engine = createHttpEngine({ engineId: "engine-1", url, clock, dispatcher: createTestDispatcher(test) });
        assert.equal(failureOf(await engine.generate(buildRequest(clock), test.signal)), "target_failed/not_run");
    });

    it("is NotRun for any failure to connect, also with the error code of a reset", async test => {
        const reset = Object.assign(new Error("reset"), { code: "ECONNRESET" });
        const { clock, engine } = createUnconnectedEngine(test, (...[, callback]) => callback(reset, noSocket));
        assert.equal(failureOf(await engine.generate(buildRequest(clock), test.signal)), "target_failed/not_run");
    });

    it("is NotRun, and never sent, when the caller aborts while connecting", async test => {
        const caller = new AbortController();
        const target = await startRawTarget(test, {});
        const connect = buildConnector({});
        const connectLater: (() => void)[] = [];
        const { clock, engine } = createUnconnectedEngine(test, (options, callback) => {
            connectLater.push(() => connect({ ...options, port: new URL(target.url).port }, callback));
            caller.abort();
        });
        assert.equal(failureOf(await engine.generate(buildRequest(clock), caller.signal)), "cancelled/not_run");
        const state = engine.readState(1_000);
        connectLater.forEach(start => start());
        await target.received("GET /state");
        await clock.advance(1_000);
        await state;
        assert.deepEqual(target.requests.map(request => request.line), ["GET /state"]);
    });

    it("is NotRun when the deadline passes while connecting", async test => {
        const late = createUnconnectedEngine(test, () => void late.clock.advance(60_000));
        const afterDeadline = await late.engine.generate(
            buildRequest(late.clock, { deadline: late.clock.wallNow() + 5_000 }),
            test.signal,
        );
        assert.equal(failureOf(afterDeadline), "deadline_passed/not_run");
    });

    it("sends nothing after the deadline or an abort, also over a connection that is open", async test => {
        const script: RawScript = ({ socket }) => writeAnswer(socket, 200, "{}");
        const { clock, engine, target } = await startEngineCase(test, script);
        await engine.readState(clock.monotonicNow() + 1_000);
        const late = await engine.generate(buildRequest(clock, { deadline: clock.wallNow() }), test.signal);
        assert.equal(failureOf(late), "deadline_passed/not_run");
        const aborted = await engine.generate(buildRequest(clock), AbortSignal.abort());
        assert.equal(failureOf(aborted), "cancelled/not_run");
        assert.equal(target.requests.length, 1);
    });

    it("is MayHaveRun when the connection is reset before the request is read", async test => {
        const { url } = await startRawTarget(test, { onConnection: socket => void socket.pause() });
        const connect = buildConnector({});
        const { clock, engine } = createUnconnectedEngine(test, (options, callback) => {
            connect({ ...options, port: new URL(url).port }, (...outcome) => {
                callback(...outcome);
                setImmediate(() => outcome[1]?.resetAndDestroy());
            });
        });
        assert.equal(failureOf(await engine.generate(buildRequest(clock), test.signal)), "target_failed/may_have_run");
    });

    it("is MayHaveRun when the connection is reset while the request is written", async test => {
        const clock = new FakeClock();
        const { url } = await startRawTarget(test, {
            onConnection: socket => void socket.once("data", () => socket.resetAndDestroy()),
        });
        const engine = createHttpEngine({ engineId: "engine-1", url, clock, dispatcher: createTestDispatcher(test) });
        const request = buildRequest(clock, { prompt: "long ".repeat(2_000_000) });
        assert.equal(failureOf(await engine.generate(request, test.signal)), "target_failed/may_have_run");
    });

    const answers: { name: string; script: RawScript; expected: string; }[] = [
        {
            name: "a reset after the request was read",
            script: ({ socket }) => socket.resetAndDestroy(),
            expected: "target_failed/may_have_run",
        },
        {
            name: "a half-closed socket",
            script: ({ socket }) => void socket.end(),
            expected: "target_failed/may_have_run",
        },
        {
            name: "a half-closed socket within the head",
            script: ({ socket }) => void socket.end("HTTP/1.1 200 OK\r\ntransfer-enc"),
            expected: "target_failed/may_have_run",
        },
        {
            name: "bytes that are not HTTP",
            script: ({ socket }) => void socket.write("SSH-2.0-x\r\n\r\n"),
            expected: "target_failed/may_have_run",
        },
        {
            name: "a refusal",
            script: ({ socket }) => writeAnswer(socket, 503, JSON.stringify(refusal)),
            expected: "overloaded/not_run",
        },
        {
            name: "status 503 without a refusal",
            script: ({ socket }) => writeAnswer(socket, 503, "upstream down"),
            expected: "target_failed/may_have_run",
        },
        {
            name: "a refusal with another status",
            script: ({ socket }) => writeAnswer(socket, 500, JSON.stringify(refusal)),
            expected: "overloaded/may_have_run",
        },
        {
            name: "a refusal that says it may have run",
            script: ({ socket }) =>
                writeAnswer(socket, 503, JSON.stringify({ ...refusal, verdict: ExecutionVerdict.MayHaveRun })),
            expected: "overloaded/may_have_run",
        },
        {
            name: "a truncated refusal",
            script: ({ socket }) =>
                void socket.end(`HTTP/1.1 503 X\r\ncontent-length: 200\r\n\r\n${JSON.stringify(refusal)}`),
            expected: "target_failed/may_have_run",
        },
        {
            name: "a refusal whose length is not given",
            script: ({ socket }) => void socket.end(`HTTP/1.1 503 X\r\n\r\n${JSON.stringify(refusal)}`),
            expected: "target_failed/may_have_run",
        },
    ];
    for (const { name, script, expected } of answers) {
        it(`is ${expected} after ${name}`, async test => {
            const { clock, engine } = await startEngineCase(test, script);
            assert.equal(failureOf(await engine.generate(buildRequest(clock), test.signal)), expected);
        });
    }

    it("returns the time from which a refused request may be retried", async test => {
        const script: RawScript = ({ socket }) => writeAnswer(socket, 503, JSON.stringify(refusal));
        const { clock, engine } = await startEngineCase(test, script);
        const refused = await engine.generate(buildRequest(clock), test.signal);
        assert.equal(refused.isErr && refused.error.retryAt, 17);
    });

    it("is MayHaveRun, and cancels, when the head of the answer does not arrive", async test => {
        const { clock, engine, target } = await startEngineCase(test, () => undefined, { acceptMilliseconds: 1_000 });
        const pending = engine.generate(buildRequest(clock), test.signal);
        await target.received("POST /generate");
        await clock.advance(999);
        assert.equal(target.requests.length, 1);
        await clock.advance(1);
        assert.equal(failureOf(await pending), "target_failed/may_have_run");
        await target.received("DELETE /streams/st-1");
    });

    it("is MayHaveRun, and cancels, when the caller aborts after the request was sent", async test => {
        const caller = new AbortController();
        const { clock, engine, target } = await startEngineCase(test, () => undefined);
        const pending = engine.generate(buildRequest(clock), caller.signal);
        await target.received("POST /generate");
        caller.abort();
        assert.equal(failureOf(await pending), "cancelled/may_have_run");
        await target.received("DELETE /streams/st-1");
    });
});

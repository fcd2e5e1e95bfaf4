import { ExecutionVerdict, FailureReason, FakeClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it, type TestContext } from "node:test";
import type { ServiceCall } from "../../plainService.js";
import { createTestDispatcher, failureOf } from "../__fixtures__/engineCase.js";
import {
    findClosedUrl,
    type RawRequest,
    type RawScript,
    startRawTarget,
    writeAnswer,
    writeChunk,
    writeChunkedEnd,
    writeChunkedHead,
} from "../__fixtures__/startRawTarget.js";
import { createHttpPlainService } from "../createHttpPlainService.js";

const echo = { "x-call-id": "call-1" };
const refusal = { verdict: ExecutionVerdict.NotRun, reason: FailureReason.TargetRefused, message: "closed" };

function createService(test: TestContext, url: string, clock: FakeClock) {
    const dispatcher = createTestDispatcher(test);
    return createHttpPlainService({ targetId: "desk-1", url, clock, dispatcher, maxAnswerBytes: 1_000 });
}

async function startServiceCase(test: TestContext, onRequest: RawScript) {
    const clock = new FakeClock();
    const target = await startRawTarget(test, { onRequest });
    return { clock, target, service: createService(test, target.url, clock) };
}

function buildCall(clock: FakeClock, changes: Partial<ServiceCall> = {}): ServiceCall {
    return {
        callId: "call-1",
        method: "POST",
        path: "/quotes",
        contentType: "text/plain",
        body: "q-17",
        deadline: clock.wallNow() + 1_000,
        ...changes,
    };
}

describe("createHttpPlainService", () => {
    it("returns the answer, also with an error status", async test => {
        const { clock, service, target } = await startServiceCase(test, ({ socket }) => {
            writeAnswer(socket, 404, "no such quote", { ...echo, "content-type": "text/plain" });
        });
        const answer = await service.invoke(buildCall(clock), test.signal);
        assert.deepEqual(answer.unwrapOr(undefined), { status: 404, contentType: "text/plain", body: "no such quote" });
        assert.deepEqual([target.requests[0]?.line, target.requests[0]?.body], ["POST /quotes", "q-17"]);
    });

    const failed = "target_failed/may_have_run";
    const cases: { name: string; script: RawScript; expected: string; }[] = [
        {
            name: "a reset after the request was read",
            script: ({ socket }) => socket.resetAndDestroy(),
            expected: failed,
        },
        { name: "a half-closed socket", script: ({ socket }) => void socket.end(), expected: failed },
        {
            name: "a truncated answer",
            script: ({ socket }) =>
                void socket.end("HTTP/1.1 200 X\r\nx-call-id: call-1\r\ncontent-length: 9\r\n\r\nhalf"),
            expected: failed,
        },
        {
            name: "a truncated chunked answer",
            script: ({ socket }) => {
                writeChunkedHead(socket, "x-call-id: call-1\r\n");
                writeChunk(socket, "half");
                socket.end();
            },
            expected: failed,
        },
        {
            name: "an answer whose length is not given",
            script: ({ socket }) => void socket.end("HTTP/1.1 200 X\r\nx-call-id: call-1\r\n\r\nperhaps whole"),
            expected: failed,
        },
        ...["000", "099", "600", "999"].map(status => ({
            name: `an answer with status ${status}`,
            script: ({ socket }: RawRequest) =>
                void socket.write(`HTTP/1.1 ${status} X\r\nx-call-id: call-1\r\ncontent-length: 4\r\n\r\ntext`),
            expected: failed,
        })),
        {
            name: "an answer whose length is not given and whose connection is reset within it",
            script: ({ socket }) => {
                socket.write("HTTP/1.1 200 X\r\nx-call-id: call-1\r\n\r\nhalf");
                socket.resetAndDestroy();
            },
            expected: failed,
        },
        {
            name: "an answer whose last coding is not chunked",
            script: ({ socket }) =>
                void socket.end("HTTP/1.1 200 X\r\nx-call-id: call-1\r\ntransfer-encoding: chunked, gzip\r\n\r\nhalf"),
            expected: failed,
        },
        {
            name: "an answer to another call",
            script: ({ socket }) => writeAnswer(socket, 200, "other", { "x-call-id": "call-0" }),
            expected: failed,
        },
        {
            name: "an answer that names no call",
            script: ({ socket }) => writeAnswer(socket, 200, "other"),
            expected: failed,
        },
        {
            name: "another call's refusal",
            script: ({ socket }) => writeAnswer(socket, 503, JSON.stringify(refusal), { "x-call-id": "call-0" }),
            expected: failed,
        },
        {
            name: "an answer over the limit",
            script: ({ socket }) => writeAnswer(socket, 200, "x".repeat(1_001), echo),
            expected: "body_too_large/may_have_run",
        },
        {
            name: "a refusal",
            script: ({ socket }) => writeAnswer(socket, 503, JSON.stringify(refusal), echo),
            expected: "target_refused/not_run",
        },
        {
            name: "status 503 without a refusal",
            script: ({ socket }) => writeAnswer(socket, 503, "", echo),
            expected: "ok",
        },
        {
            name: "interim answers before a whole one",
            script: ({ socket }) => {
                socket.write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 102 X\r\n\r\n");
                writeAnswer(socket, 200, "whole", echo);
            },
            expected: "ok",
        },
        {
            name: "interim answers without a final one",
            script: ({ socket }) => void socket.write("HTTP/1.1 102 Processing\r\n\r\n".repeat(2_000)),
            expected: failed,
        },
        {
            name: "a chunked answer",
            script: ({ socket }) => {
                writeChunkedHead(socket, "x-call-id: call-1\r\n");
                writeChunk(socket, "whole");
                writeChunkedEnd(socket);
            },
            expected: "ok",
        },
    ];
    for (const { name, script, expected } of cases) {
        it(`is ${expected} after ${name}`, async test => {
            const { clock, service } = await startServiceCase(test, script);
            assert.equal(failureOf(await service.invoke(buildCall(clock), test.signal)), expected);
        });
    }

    it("is NotRun when the connection is refused, and when the call is not valid as HTTP", async test => {
        const clock = new FakeClock();
        const service = createService(test, await findClosedUrl(), clock);
        assert.equal(failureOf(await service.invoke(buildCall(clock), test.signal)), "target_failed/not_run");
        const split = buildCall(clock, { path: "/quotes HTTP/1.1\r\nx: y" });
        assert.equal(failureOf(await service.invoke(split, test.signal)), "target_failed/not_run");
    });

    it("sends nothing after the deadline, also over a connection that is open", async test => {
        const script: RawScript = ({ socket }) => writeAnswer(socket, 200, "ok", echo);
        const { clock, service, target } = await startServiceCase(test, script);
        await service.invoke(buildCall(clock), test.signal);
        const late = await service.invoke(buildCall(clock, { deadline: clock.wallNow() }), test.signal);
        assert.equal(failureOf(late), "deadline_passed/not_run");
        assert.equal(target.requests.length, 1);
    });

    it("is MayHaveRun when the deadline passes or the caller aborts after the call was sent", async test => {
        const caller = new AbortController();
        const { clock, service, target } = await startServiceCase(test, () => undefined);
        const late = service.invoke(buildCall(clock), test.signal);
        await target.received("POST /quotes");
        await clock.advance(1_000);
        assert.equal(failureOf(await late), "deadline_passed/may_have_run");
        const abandoned = service.invoke(buildCall(clock, { path: "/tickets" }), caller.signal);
        await target.received("POST /tickets");
        caller.abort();
        assert.equal(failureOf(await abandoned), "cancelled/may_have_run");
    });

    it("sends a call once, also when a reused connection is closed during it", async test => {
        const { clock, service, target } = await startServiceCase(test, ({ line, socket }) => {
            writeAnswer(socket, 200, "ok", { ...echo, "keep-alive": "timeout=30" });
            if (line.startsWith("POST /tickets")) {
                socket.resetAndDestroy();
            }
        });
        await service.invoke(buildCall(clock), test.signal);
        await service.invoke(buildCall(clock, { path: "/tickets" }), test.signal);
        assert.deepEqual(target.requests.map(request => request.line), ["POST /quotes", "POST /tickets"]);
    });

    it("does not mistake a late second answer for the answer to the next call", async test => {
        const { clock, service } = await startServiceCase(test, ({ line, socket }) => {
            const isFirst = line === "POST /quotes";
            writeAnswer(socket, 200, isFirst ? "first" : "second", isFirst ? echo : { "x-call-id": "call-2" });
            if (isFirst) {
                writeAnswer(socket, 200, "late", echo);
            }
        });
        await service.invoke(buildCall(clock), test.signal);
        const next = await service.invoke(buildCall(clock, { callId: "call-2", path: "/tickets" }), test.signal);
        assert.ok(next.isErr || next.value.body === "second");
    });

    // Guards against a service that reads an abandoned call, because the kernel delivers it after a close.
    it("resets the connection of a call that is cancelled", async test => {
        const caller = new AbortController();
        const closed = new Promise<boolean>(resolve => {
            void startServiceCase(test, ({ socket }) => {
                socket.once("close", resolve);
                caller.abort();
            }).then(({ clock, service }) => service.invoke(buildCall(clock), caller.signal));
        });
        assert.equal(await closed, true, "the connection was closed in order");
    });
});

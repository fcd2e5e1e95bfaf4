import { ExecutionVerdict, FailureReason, notRun } from "daisyturn-utils";
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test } from "node:test";
import { type Exchange, exchange, openRawConnection } from "../__fixtures__/rawConnection.js";
import { type RawTarget, startRawTarget } from "../__fixtures__/rawTarget.js";
import { AnswerEnd } from "../answerEnd.js";
import type { TargetConnection } from "../openTargetConnection.js";

const cancellation = notRun(FailureReason.Cancelled, "cancelled by the test");

async function withTarget(
    onRequest: (socket: Socket, count: number) => unknown,
    run: (connection: TargetConnection, target: RawTarget) => Promise<void>,
): Promise<void> {
    const target = await startRawTarget(onRequest);
    const connection = openRawConnection(target.address);
    try {
        await run(connection, target);
    }
    finally {
        connection.close();
        await target.close();
    }
}

function assertFailed({ result }: Exchange, verdict: ExecutionVerdict): void {
    assert.ok(result.isErr, "the send must fail");
    assert.equal(result.error.verdict, verdict);
}

test("accepts an answer with a Content-Length as complete", () =>
    withTarget(
        socket => void socket.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"),
        async connection => {
            const { result, body } = await exchange(connection);
            assert.ok(result.isOk);
            assert.equal(body, "hello");
            assert.ok(connection.isAlive());
        },
    ));

for (const fields of ["Connection: close\r\n", ""]) {
    test(`tells that an answer without a length ended with its connection, which carries no other (${fields})`, () =>
        withTarget(
            socket => void socket.end(`HTTP/1.1 200 OK\r\n${fields}\r\nhello`),
            async connection => {
                const { result, body } = await exchange(connection);
                assert.equal(result.unwrapOr(AnswerEnd.Framed), AnswerEnd.ConnectionClosed);
                assert.equal(body, "hello");
                assert.equal(connection.isAlive(), false);
            },
        ));
}

// Guards against a part of an answer that counts as whole, because its coding only contains the word "chunked".
for (const coding of ["chunked, gzip", "xchunkedx"]) {
    test(`tells that an answer whose last coding is not chunked ended with its connection (${coding})`, () =>
        withTarget(
            socket => void socket.end(`HTTP/1.1 200 OK\r\nTransfer-Encoding: ${coding}\r\n\r\nhel`),
            async connection => {
                const { result } = await exchange(connection);
                assert.equal(result.unwrapOr(AnswerEnd.Framed), AnswerEnd.ConnectionClosed);
            },
        ));
}

// Guards against a HEAD call that fails although it was answered whole, because its answer states no length.
test("accepts an answer to HEAD as complete, whatever it states of a body", () =>
    withTarget(
        socket => void socket.write("HTTP/1.1 200 OK\r\nX: y\r\n\r\n"),
        async connection => {
            const { result } = await exchange(connection, AbortSignal.timeout(2_000), "HEAD");
            assert.equal(result.unwrapOr(AnswerEnd.ConnectionClosed), AnswerEnd.Framed);
        },
    ));

// Guards against a reset that Node.js reports as an end, since it arrives together with the last bytes.
for (const delay of [0, 30]) {
    test(`rejects an answer without a length whose connection is reset (${delay} ms after its last bytes)`, () =>
        withTarget(
            socket => {
                socket.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhel");
                if (delay === 0) {
                    socket.resetAndDestroy();
                }
                else {
                    setTimeout(() => socket.resetAndDestroy(), delay);
                }
            },
            async connection => assertFailed(await exchange(connection), ExecutionVerdict.MayHaveRun),
        ));
}

test("rejects a chunked answer that is truncated by the announced close of its connection", () =>
    withTarget(
        socket =>
            void socket.end("HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"),
        async connection => assertFailed(await exchange(connection), ExecutionVerdict.MayHaveRun),
    ));

test("accepts a chunked answer that ends before its connection closes", () =>
    withTarget(
        socket =>
            void socket.end(
                "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
            ),
        async connection => {
            const { result, body } = await exchange(connection);
            assert.ok(result.isOk);
            assert.equal(body, "hello");
        },
    ));

test("rejects an answer that is shorter than its Content-Length", () =>
    withTarget(
        socket => void socket.end("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 9\r\n\r\nhello"),
        async connection => assertFailed(await exchange(connection), ExecutionVerdict.MayHaveRun),
    ));

test("rejects an answer that is truncated within its head", () =>
    withTarget(
        socket => void socket.end("HTTP/1.1 200 OK\r\nConne"),
        async connection => assertFailed(await exchange(connection), ExecutionVerdict.MayHaveRun),
    ));

// Guards against a call that fails although it ran and was answered, because an interim answer came first.
for (const status of [100, 102, 103, 199]) {
    test(`reads past interim answers (${status}) before the final one, also in pieces of a byte`, () =>
        withTarget(
            async (socket, count) => {
                const interim = `HTTP/1.1 ${status} Wait\r\nLink: </a>; rel=preload\r\nContent-Length: 9\r\n\r\n`;
                const answer =
                    `${interim}${interim}HTTP/1.1 100 \r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello`;
                for (const piece of count === 1 ? [answer] : answer) {
                    socket.write(piece);
                    await new Promise(resolve => setImmediate(resolve));
                }
            },
            async connection => {
                for (const attempt of [1, 2, 3]) {
                    const { result, body, statuses } = await exchange(connection);
                    assert.ok(result.isOk, `call ${attempt}: ${JSON.stringify(result)}`);
                    assert.equal(body, "hello");
                    assert.deepEqual(statuses, [200]);
                }
            },
        ));
}

// Guards against an interim answer, or the begin of a head after it, that is taken for an answer when the target ends.
test("rejects interim answers whose final answer stops within its head, wherever it stops", async () => {
    const answer = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX: y\r\n\r\n";
    for (let length = 0; length < answer.length; length++) {
        await withTarget(
            socket => void socket.end(answer.slice(0, length)),
            async connection => {
                const received = await exchange(connection);
                assertFailed(received, ExecutionVerdict.MayHaveRun);
                assert.deepEqual(received.statuses, []);
            },
        );
    }
});

// Guards against a target that keeps a call for as long as it sends interim answers, and against a switch of protocols.
for (
    const [name, text] of [
        ["without end", "HTTP/1.1 102 Processing\r\n\r\n".repeat(20_000)],
        [
            "that switch the protocol",
            "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        ],
    ] as const
) {
    test(`rejects interim answers ${name}`, () =>
        withTarget(
            socket => void socket.write(text),
            async connection => {
                const received = await exchange(connection, AbortSignal.timeout(3_000));
                assertFailed(received, ExecutionVerdict.MayHaveRun);
                assert.ok(received.result.isErr && received.result.error.reason === FailureReason.TargetFailed);
                await new Promise(resolve => setTimeout(resolve, 20));
                assert.equal(connection.isAlive(), false);
            },
        ));
}

test("closes the connection when bytes follow a complete answer, so that they reach no other call", () =>
    withTarget(
        socket => {
            const answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
            socket.write(answer);
            setTimeout(() => socket.write(answer.replace("hello", "wrong")), 20);
        },
        async connection => {
            assert.ok((await exchange(connection)).result.isOk);
            await new Promise(resolve => setTimeout(resolve, 80));
            assert.equal(connection.isAlive(), false);
        },
    ));

test("reports a call to an address without a listener as not run", async () => {
    const target = await startRawTarget(() => undefined);
    await target.close();
    const connection = openRawConnection(target.address);
    assertFailed(await exchange(connection), ExecutionVerdict.NotRun);
    assert.equal(connection.isAlive(), false);
});

test("reports a call that is cancelled before its answer as may have run, and closes its connection", () =>
    withTarget(
        () => undefined,
        async (connection, target) => {
            const controller = new AbortController();
            const pending = exchange(connection, controller.signal);
            while (!target.received()) {
                await new Promise(resolve => setTimeout(resolve, 5));
            }
            controller.abort(cancellation);
            const { result } = await pending;
            assert.ok(result.isErr);
            assert.equal(result.error.verdict, ExecutionVerdict.MayHaveRun);
            assert.equal(result.error.reason, FailureReason.Cancelled);
            assert.equal(connection.isAlive(), false);
        },
    ));

test("reports a call that is cancelled before the connection is established as not run", async () => {
    const connection = openRawConnection("127.0.0.1:9");
    const controller = new AbortController();
    const pending = exchange(connection, controller.signal);
    controller.abort(cancellation);
    assertFailed(await pending, ExecutionVerdict.NotRun);
});

// Guards against a target that reads the request of an abandoned call, because the kernel delivers it after a close.
test("resets the connection of a call that is cancelled, so that nothing of it is delivered any more", () =>
    withTarget(
        () => undefined,
        async (connection, target) => {
            const controller = new AbortController();
            const pending = exchange(connection, controller.signal);
            while (!target.received()) {
                await new Promise(resolve => setTimeout(resolve, 5));
            }
            const closed = new Promise(resolve => target.connections[0]?.once("close", resolve));
            controller.abort(cancellation);
            await pending;
            assert.equal(await closed, true, "the connection was closed in order");
        },
    ));

// Guards against answers that are passed on although HTTP has no such status, and against an assertion of the HTTP client,
// for whose message Node.js parses the whole source text.
for (const status of ["099", "000", "600", "999"]) {
    test(`refuses an answer with status ${status}, without an assertion`, () =>
        withTarget(
            socket => void socket.write(`HTTP/1.1 ${status} Unknown\r\nContent-Length: 5\r\n\r\nhello`),
            async connection => {
                const { result } = await exchange(connection);
                assert.ok(result.isErr, "the send must fail");
                assert.equal(result.error.message, `The target answered with status ${Number(status)}.`);
                assert.equal(result.error.verdict, ExecutionVerdict.MayHaveRun);
            },
        ));
}

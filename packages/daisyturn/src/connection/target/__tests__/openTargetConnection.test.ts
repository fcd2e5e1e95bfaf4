import { ExecutionVerdict, type Failure, FailureReason, notRun, SystemClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test } from "node:test";
import type { Result } from "true-myth/result";
import { ConnectionBreak } from "../../../process/forwarding/index.js";
import { type RawTarget, startRawTarget } from "../__fixtures__/rawTarget.js";
import { openSocket } from "../openSocket.js";
import { AnswerEnd, openTargetConnection, type TargetConnection } from "../openTargetConnection.js";

const cancellation = notRun(FailureReason.Cancelled, "cancelled by the test");

interface Exchange {
    readonly result: Result<AnswerEnd, Failure>;
    readonly body: string;
}

function open(address: string, onBroken?: (how: ConnectionBreak) => void): TargetConnection {
    return openTargetConnection({
        address,
        now: () => performance.now(),
        dial: async () => {
            const opened = await openSocket(address, { deadline: performance.now() + 400, clock: new SystemClock() });
            return opened
                .map(socket => ({ socket }))
                .mapErr(({ message }) => notRun(FailureReason.TargetFailed, `The connection failed: ${message}.`));
        },
        onBroken,
        onClosed: () => undefined,
    });
}

async function exchange(connection: TargetConnection, signal = new AbortController().signal): Promise<Exchange> {
    let body = "";
    const result = await connection.send({
        head: { method: "GET", path: "/x", fields: ["Host", "target.example"] },
        body: undefined,
        signal,
        sink: {
            onHead: () => undefined,
            onChunk: chunk => {
                body += chunk.toString("latin1");
            },
        },
    });
    return { result, body };
}

async function withTarget(
    onRequest: (socket: Socket, count: number) => void,
    run: (connection: TargetConnection, target: RawTarget) => Promise<void>,
): Promise<void> {
    const target = await startRawTarget(onRequest);
    const connection = open(target.address);
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
    const connection = open(target.address);
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
    const connection = open("127.0.0.1:9");
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

// Guards against a restart of a target that goes unnoticed because no call was under way (review/2).
test("a connection that the target breaks off is reported, within an answer or idle, and one that ends as planned is not", async () => {
    const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=1\r\n\r\nok";
    const last = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok";
    const { Answering, Idle } = ConnectionBreak;
    const cases: readonly (readonly [string, (socket: Socket) => void, ConnectionBreak?])[] = [
        ["within an answer", socket => void socket.end(whole.slice(0, -1)), Answering],
        [
            "reset within an answer",
            socket => void socket.write(whole.slice(0, -1), () => socket.resetAndDestroy()),
            Answering,
        ],
        ["idle", socket => void socket.write(whole, () => setTimeout(() => socket.end(), 30)), Idle],
        ["idle until its announced time", socket => void socket.write(whole)],
        ["last answer", socket => void socket.end(last)],
        ["answer that ends with its connection", socket => void socket.end("HTTP/1.1 200 OK\r\n\r\nok")],
    ];
    for (const [name, answer, expected] of cases) {
        const broken: ConnectionBreak[] = [];
        const target = await startRawTarget(answer);
        const connection = open(target.address, how => void broken.push(how));
        try {
            await exchange(connection);
            const deadline = performance.now() + 3_000;
            while (connection.isAlive() && performance.now() < deadline) {
                await new Promise(resolve => setTimeout(resolve, 10));
            }
            assert.equal(connection.isAlive(), false, name);
            assert.equal(broken[0], expected, name);
        }
        finally {
            connection.close();
            await target.close();
        }
    }
});

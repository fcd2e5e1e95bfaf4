import { ExecutionVerdict, FailureReason, notRun, SystemClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import { test } from "node:test";
import { createPausedBarrier } from "../../__fixtures__/pausedBarrier.js";
import { createReadTurns } from "../../bytes/createReadTurns.js";
import type { ReadBarrier } from "../../createReadBarrier.js";
import { startRawTarget } from "../__fixtures__/rawTarget.js";
import { ConnectionPolicy, createTargetConnections, type TargetConnections } from "../createTargetConnections.js";
import type { TargetDialer } from "../createTargetDialer.js";
import { openSocket } from "../openSocket.js";
import { ProbeResult } from "../probeAddress.js";

const clock = new SystemClock();
const resetMilliseconds = 20;

/** A barrier that is passed once a connection has closed, as in a process that falls behind. */
function createSlowBarrier() {
    let isClosed = false;
    let pass = () => undefined as void;
    const closed = new Promise<void>(resolve => pass = resolve);
    return {
        isPassed: () => isClosed,
        nextRead: () => closed,
        recordClosed: () => {
            isClosed = true;
            pass();
        },
    };
}

function createPool(dial: TargetDialer["dial"], barrier: ReadBarrier): TargetConnections {
    return createTargetConnections(
        clock,
        { recordAnswered: () => undefined, isLost: () => false, hasLost: () => false },
        { dial, retryLink: () => undefined, probePeer: () => Promise.resolve(ProbeResult.Accepted) },
        barrier,
        createReadTurns(),
    );
}

function send(
    connections: TargetConnections,
    address: string,
    callId: string,
    signal: AbortSignal = new AbortController().signal,
) {
    return connections.send(address, ConnectionPolicy.Reuse, {
        callId,
        head: { method: "GET", path: "/x", fields: ["Host", "target.example"] },
        body: undefined,
        signal,
        sink: { onHead: () => undefined, onChunk: () => undefined },
    });
}

async function dialDirectly(address: string) {
    const opened = await openSocket(address, { deadline: clock.monotonicNow() + 400, clock });
    return opened
        .map(socket => ({ socket }))
        .mapErr(({ message }) => notRun(FailureReason.TargetFailed, message));
}

// Guards against a process that ends because a connection breaks while nothing listens to its errors.
test("a connection that is reset before its call is sent fails the call as not run", async () => {
    const server = createServer(socket => void setTimeout(() => socket.resetAndDestroy(), resetMilliseconds));
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const barrier = createSlowBarrier();
    const dial = async () =>
        (await dialDirectly(address)).map(({ socket }) => ({ socket: socket.once("close", barrier.recordClosed) }));
    const connections = createPool(dial, barrier);
    const result = await send(connections, address, "call-1");
    connections.close();
    server.close();
    assert.ok(result.isErr);
    assert.equal(result.error.verdict, ExecutionVerdict.NotRun);
});

const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=5\r\n\r\nok";
const passedBarrier: ReadBarrier = { isPassed: () => true, nextRead: () => Promise.resolve() };

// Guards against the copy of an earlier answer that is taken for the answer to the same call, sent again.
test("a connection carries no call twice", async () => {
    const target = await startRawTarget(socket => void socket.write(whole));
    const connections = createPool(dialDirectly, passedBarrier);
    const counts: number[] = [];
    for (const callId of ["call-1", "call-2", "call-1", "call-2", "call-3"]) {
        assert.ok((await send(connections, target.address, callId)).isOk);
        counts.push(target.connections.length);
    }
    connections.close();
    await target.close();
    assert.deepEqual(counts, [1, 1, 2, 2, 2]);
});

// Guards against identifiers of calls that accumulate for as long as a connection is in use.
test("a connection is not reused once the identifiers of its calls are too long together", async () => {
    const target = await startRawTarget(socket => void socket.write(whole));
    const connections = createPool(dialDirectly, passedBarrier);
    const counts: number[] = [];
    for (const length of [16, 4_096, 4_079, 16, 8_192, 16]) {
        assert.ok((await send(connections, target.address, `${counts.length}`.padEnd(length, "x"))).isOk);
        counts.push(target.connections.length);
    }
    connections.close();
    await target.close();
    assert.deepEqual(counts, [1, 1, 1, 1, 2, 3]);
});

// Guards against requests that reach a target after a pause although their caller left during it.
test("a call that waits for its connection during a pause of the process is not sent if its caller has left", async () => {
    const target = await startRawTarget(socket => void socket.write(whole));
    const caller = new AbortController();
    const failure = notRun(FailureReason.Cancelled, "The caller has left.");
    const barrier = createPausedBarrier(() => caller.abort(failure));
    const connections = createPool(dialDirectly, barrier);
    assert.ok((await send(connections, target.address, "call-1")).isOk);
    const sent = send(connections, target.address, "call-2", caller.signal);
    barrier.pause();
    const result = await sent;
    const third = await send(connections, target.address, "call-3");
    connections.close();
    await target.close();
    assert.ok(result.isErr);
    assert.deepEqual(result.error, failure);
    assert.ok(third.isOk);
    assert.equal(target.received().split("GET /x").length - 1, 2);
});

// Guards against calls that fail because their process was paused.
test("a call that waits for its connection during a pause of the process is sent once its caller's connection was read", async () => {
    const target = await startRawTarget(socket => void socket.write(whole));
    let reads = 0;
    const barrier = createPausedBarrier(() => void reads++);
    const connections = createPool(dialDirectly, barrier);
    assert.ok((await send(connections, target.address, "call-1")).isOk);
    const sent = send(connections, target.address, "call-2");
    barrier.pause();
    assert.ok((await sent).isOk);
    connections.close();
    await target.close();
    assert.deepEqual({ reads, sends: target.received().split("GET /x").length - 1 }, { reads: 1, sends: 2 });
});

import { ExecutionVerdict, FailureReason, notRun, SystemClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import { test } from "node:test";
import { createReadTurns } from "../../bytes/createReadTurns.js";
import { ConnectionPolicy, createTargetConnections } from "../createTargetConnections.js";
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

// Guards against a process that ends because a connection breaks while nothing listens to its errors.
test("a connection that is reset before its call is sent fails the call as not run", async () => {
    const server = createServer(socket => void setTimeout(() => socket.resetAndDestroy(), resetMilliseconds));
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const barrier = createSlowBarrier();
    const dial = async () => {
        const opened = await openSocket(address, { deadline: clock.monotonicNow() + 400, clock });
        return opened
            .map(socket => ({ socket: socket.once("close", barrier.recordClosed) }))
            .mapErr(({ message }) => notRun(FailureReason.TargetFailed, message));
    };
    const connections = createTargetConnections(
        clock,
        { recordAnswered: () => undefined, isLost: () => false, hasLost: () => false },
        { dial, retryLink: () => undefined, probePeer: () => Promise.resolve(ProbeResult.Accepted) },
        barrier,
        createReadTurns(),
    );
    const result = await connections.send(address, ConnectionPolicy.Reuse, {
        head: { method: "GET", path: "/x", fields: ["Host", "target.example"] },
        body: undefined,
        signal: new AbortController().signal,
        sink: { onHead: () => undefined, onChunk: () => undefined },
    });
    connections.close();
    server.close();
    assert.ok(result.isErr);
    assert.equal(result.error.verdict, ExecutionVerdict.NotRun);
});

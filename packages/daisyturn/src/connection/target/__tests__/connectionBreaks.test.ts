import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test } from "node:test";
import { ConnectionBreak } from "../../../process/forwarding/index.js";
import { exchange, openRawConnection } from "../__fixtures__/rawConnection.js";
import { startRawTarget } from "../__fixtures__/rawTarget.js";

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
        const connection = openRawConnection(target.address, how => void broken.push(how));
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

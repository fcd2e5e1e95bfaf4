import { SystemClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { test } from "node:test";
import { createReadBarrier, passReadBarrier } from "../createReadBarrier.js";

const clock = new SystemClock();
const busyMilliseconds = 250;
const connectionCount = 20;

function keepBusy(milliseconds: number): void {
    const end = clock.monotonicNow() + milliseconds;
    while (clock.monotonicNow() < end) {
        // Busy, like a process at its limit.
    }
}

// Guards against requests that are sent although the close of their caller already waits in the kernel.
test("a close that has arrived with a request is read before the barrier is passed", async () => {
    const barrier = createReadBarrier(clock);
    const served: { isClosedAtRead: boolean; isClosedAfter: boolean; }[] = [];
    const serve = async (socket: Socket) => {
        let isClosed = false;
        socket.once("end", () => {
            isClosed = true;
        });
        await once(socket, "data");
        const isClosedAtRead = isClosed;
        await passReadBarrier(barrier, clock);
        served.push({ isClosedAtRead, isClosedAfter: isClosed });
    };
    const server = createServer(socket => void serve(socket));
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const clients = Array.from({ length: connectionCount }, () => connect(port, "127.0.0.1").end("request"));
    await Promise.all(clients.map(client => once(client, "finish")));
    keepBusy(busyMilliseconds);
    while (served.length < connectionCount) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
    server.close();
    assert.ok(served.some(({ isClosedAtRead }) => !isClosedAtRead), "no request was read before its close");
    assert.deepEqual(served.filter(({ isClosedAfter }) => !isClosedAfter), []);
});

// Guards against calls that are sent long after the last read, because those before them took the processor.
test("a call that waited for the processor waits for another read", async () => {
    const barrier = createReadBarrier(clock);
    let turns = 0;
    const count = () => {
        turns += 1;
        immediate = setImmediate(count);
    };
    let immediate = setImmediate(count);
    const arrivedAt = clock.monotonicNow();
    const send = async () => {
        while (!barrier.isPassed(arrivedAt)) {
            await barrier.nextRead();
        }
        keepBusy(busyMilliseconds);
        return turns;
    };
    const [firstTurn, secondTurn] = await Promise.all([send(), send()]);
    clearImmediate(immediate);
    assert.ok(secondTurn > firstTurn, `passed at turn ${secondTurn}, the first at ${firstTurn}`);
});

/** Counts the turns of the event loop until a barrier's next read has ended, where the given ones take long. */
async function countTurnsOfRead(longTurns: readonly number[]): Promise<number> {
    const barrier = createReadBarrier(clock);
    let turns = 0;
    const count = () => {
        turns += 1;
        if (longTurns.includes(turns)) {
            keepBusy(busyMilliseconds);
        }
        immediate = setImmediate(count);
    };
    const read = barrier.nextRead();
    let immediate = setImmediate(count);
    await read;
    clearImmediate(immediate);
    return turns;
}

// Guards against closes that arrived while the process was paused within a read, which had not begun to wait for them.
test("a read is repeated once if it takes long", async () => {
    const undisturbed = await countTurnsOfRead([]);
    assert.equal(await countTurnsOfRead([1]), undisturbed + 1);
    assert.equal(await countTurnsOfRead([1, 2, 3, 4]), undisturbed + 1);
});

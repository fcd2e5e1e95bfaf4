import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { ByteSource } from "../../../../process/forwarding/index.js";
import { createReadTurns } from "../../../bytes/createReadTurns.js";
import { paceServer } from "../paceServer.js";

const maxConnections = 64;
const request = "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n";
/** The balancer's probe waits a second. */
const probeMilliseconds = 1_000;

interface PacedServer {
    /** Opens a connection. */
    open(): Promise<Socket>;
    /** The requests that the server has received, in order. */
    readonly received: readonly ServerResponse[];
}

async function withServer(isAnswered: boolean, run: (server: PacedServer) => Promise<void>): Promise<void> {
    const received: ServerResponse[] = [];
    const server: Server = createServer((incoming, outgoing) => {
        received.push(outgoing);
        if (isAnswered) {
            outgoing.end("ready");
        }
    });
    paceServer(server, createReadTurns(), ByteSource.Operator);
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const sockets: Socket[] = [];
    const open = async () => {
        const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
        sockets.push(socket);
        socket.on("error", () => undefined);
        await once(socket, "connect");
        return socket;
    };
    try {
        await run({ open, received });
    }
    finally {
        sockets.forEach(socket => socket.destroy());
        server.closeAllConnections();
        server.close();
    }
}

async function openMany({ open }: PacedServer): Promise<Socket[]> {
    return Promise.all(Array.from({ length: maxConnections }, open));
}

async function isAnswered(socket: Socket): Promise<boolean> {
    socket.write(request);
    const [first] = await Promise.race([once(socket, "data"), once(socket, "close"), sleep(probeMilliseconds, [])]);
    return String(first).startsWith("HTTP/1.1 200 ");
}

/** Waits until no more than a number of connections are open, and checks that no fewer are. */
async function waitForOpen(sockets: readonly Socket[], expected: number): Promise<void> {
    const count = () => sockets.filter(({ closed }) => !closed).length;
    const deadline = performance.now() + probeMilliseconds;
    while (count() > expected && performance.now() < deadline) {
        await sleep(10);
    }
    assert.equal(count(), expected);
}

// Guards against a balancer that takes a process for not ready, because a client holds idle connections to the same port.
test("a probe is answered while a client holds idle connections", () =>
    withServer(true, async server => {
        const held = await openMany(server);
        assert.ok(await isAnswered(held[0]!));
        assert.ok(await isAnswered(await server.open()));
        await waitForOpen(held, maxConnections - 1);
        assert.ok(held[1]?.closed, "the one that has been without a request for longest");
    }));

test("no more connections are open than the bound while a client opens many at once", () =>
    withServer(true, async server => {
        const opened = [...await openMany(server), ...await openMany(server), ...await openMany(server)];
        await waitForOpen(opened, maxConnections);
        assert.ok(await isAnswered(await server.open()));
    }));

test("a connection with a request under way is not closed for a new one", () =>
    withServer(false, async server => {
        const held = await openMany(server);
        held.forEach(socket => socket.write(request));
        while (server.received.length < maxConnections) {
            await sleep(10);
        }
        assert.equal(await isAnswered(await server.open()), false);
        server.received.forEach(outgoing => outgoing.end("ready"));
        const answers = await Promise.all(held.map(socket => once(socket, "data")));
        assert.equal(answers.length, maxConnections);
    }));

import { createHybridLogicalClock, ExecutionVerdict, FakeClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { describe, it, type TestContext } from "node:test";
import { waitUntil } from "../__fixtures__/peerNetworks.js";
import { createReadTurns } from "../bytes/createReadTurns.js";
import type { ProcessTimes } from "../bytes/processTimes.js";
import { peerNetworkSettingsSchema } from "../peerNetworkSettings.js";
import { createRpcConnection, createTrafficCounters } from "../rpcConnection.js";

const settings = peerNetworkSettingsSchema.parse({
    listen: { host: "127.0.0.1", port: 0 },
    secret: "a secret of the whole cell",
    maximumOutgoingBytes: 65_536,
    silenceLimitMilliseconds: 1_000,
});

/** Opens a connection whose other end is a plain socket that is not read. */
async function connectToStalledPeer(context: TestContext, times?: ProcessTimes) {
    const server = createServer({ pauseOnConnect: true });
    context.after(() => server.close());
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
    const [peer] = await once(server, "connection") as [Socket];
    peer.on("error", () => undefined);
    context.after(() => [socket, peer].forEach(end => end.destroy()));
    const clock = new FakeClock();
    const counters = createTrafficCounters();
    const connection = createRpcConnection({
        socket,
        clock,
        hybridClock: createHybridLogicalClock(clock),
        settings,
        methods: ["work"],
        answer: () => Promise.resolve({ text: "a".repeat(10_000) }),
        counters,
        turns: createReadTurns(times),
    });
    return { clock, connection, counters, peer, socket };
}

const large = { text: "a".repeat(10_000) };

describe("createRpcConnection", () => {
    it("drops notifications to a stalled peer, then refuses requests, and limits the buffered bytes", async context => {
        const { connection, counters, socket } = await connectToStalledPeer(context);
        await waitUntil(() => {
            connection.notify("work", large);
            return counters.notificationsDropped > 10;
        });
        const bufferedNotificationBytes = socket.writableLength;
        const requests = Array.from({ length: 20 }, () => connection.request("work", large, 1_000));
        const refused = await Promise.any(requests);
        assert.ok(refused.isErr && refused.error.verdict === ExecutionVerdict.NotRun);
        assert.ok(bufferedNotificationBytes < settings.maximumOutgoingBytes);
        assert.ok(socket.writableLength < settings.maximumOutgoingBytes + 2 * large.text.length);
    });

    it("closes the connection when an answer can't be sent", async context => {
        const { connection, peer } = await connectToStalledPeer(context);
        for (let id = 1; connection.isOpen(); id++) {
            peer.write(`${JSON.stringify({ jsonrpc: "2.0", id, method: "work", params: {} })}\n`);
            await new Promise(setImmediate);
        }
        assert.match(await connection.closed, /too many bytes/);
    });

    it("closes when nothing is received for too long, but not because this process was stalled", async context => {
        const { clock, connection, counters, peer } = await connectToStalledPeer(context);
        await clock.advance(1_050);
        peer.write("{\"jsonrpc\":\"2.0\",\"method\":\"work\"}\n");
        await waitUntil(() => counters.messagesReceived === 1);
        await clock.advance(1_000);
        assert.ok(connection.isOpen());
        await clock.advance(200);
        assert.match(await connection.closed, /nothing received/);
    });

    // Guards against a peer whose short lines keep the process from all other work.
    it("reads short lines of a peer in turns of the event loop", async context => {
        let used = 0;
        const { counters, peer } = await connectToStalledPeer(context, {
            now: () => used,
            used: () => used += 5,
            idle: () => performance.now(),
        });
        const line = `${JSON.stringify({ jsonrpc: "2.0", method: "unknown" })}\n`;
        const lineCount = 5_000;
        peer.write(line.repeat(lineCount));
        let most = 0;
        while (counters.messagesReceived < lineCount) {
            const before = counters.messagesReceived;
            await new Promise(setImmediate);
            most = Math.max(most, counters.messagesReceived - before);
        }
        // Two reads of 5 ms fill a turn, and a third one may be granted to a connection without credit.
        assert.ok(most <= 3 * 2 * 1024 / line.length + 1, `${most} lines in a turn`);
    });
});

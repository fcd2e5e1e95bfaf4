import { MemoryEventLog, SystemClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import type { Duplex } from "node:stream";
import { describe, it, type TestContext } from "node:test";
import { createTargetLinks } from "../../../process/forwarding/index.js";
import { connectNetworks, startPeerNetwork, waitUntil } from "../../__fixtures__/peerNetworks.js";
import { createPeerTunnels } from "../createPeerTunnels.js";
import { TunnelAnswer } from "../tunnelAnswer.js";

const clock = new SystemClock();

/** Starts a target whose connections a function serves. Returns its address. */
async function startTarget(context: TestContext, serve: (socket: Socket) => void): Promise<string> {
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        serve(socket);
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    context.after(() => {
        sockets.forEach(socket => socket.destroy());
        server.close();
    });
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Starts two processes that know a target, and returns how one of them connects to it by way of the other. */
async function startPair(context: TestContext, address: string) {
    const networks = [await startPeerNetwork(context, "one"), await startPeerNetwork(context, "other")] as const;
    await connectNetworks(...networks);
    const [own, other] = networks.map(network =>
        createPeerTunnels({
            network,
            links: createTargetLinks(clock, new MemoryEventLog()),
            isListed: listed => listed === address,
            clock,
        })
    );
    assert.ok(own && other);
    const peer = { peerId: "other", host: "", port: 0, availabilityZone: "", strength: 1 };
    const open = (to = address) => own.open(peer, to, new AbortController().signal);
    const connect = async (): Promise<Duplex> => {
        const opened = await open();
        assert.ok(opened.isOk);
        return opened.value;
    };
    return { networks, other, open, connect };
}

async function readAll(stream: Duplex): Promise<Buffer> {
    const chunks: Buffer[] = [];
    for await (const chunk of stream as AsyncIterable<Buffer>) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
}

describe("a connection that a peer carries", () => {
    it("delivers all bytes in both directions, and the end of the target's", async context => {
        const sent = Buffer.alloc(1_500_000, "0123456789");
        const address = await startTarget(context, socket => {
            let received = 0;
            socket.on("data", chunk => {
                received += chunk.length;
                if (received === sent.length) {
                    socket.end(sent);
                }
            });
        });
        const { connect, other } = await startPair(context, address);
        const stream = await connect();
        stream.write(sent);
        assert.deepEqual(await readAll(stream), sent);
        stream.destroy();
        await waitUntil(() => other.carried() === 0);
    });

    // Guards against memory that grows without bound at either process while one side does not read.
    it("holds back a target whose bytes nobody reads", async context => {
        let written = 0;
        const address = await startTarget(context, socket => {
            const piece = Buffer.alloc(65_536);
            const write = () => {
                while (socket.write(piece)) {
                    written += piece.length;
                }
            };
            socket.on("drain", write);
            write();
        });
        const { connect } = await startPair(context, address);
        const stream = await connect();
        stream.pause();
        await clock.sleepUntil(clock.monotonicNow() + 300);
        const before = written;
        await clock.sleepUntil(clock.monotonicNow() + 300);
        assert.equal(written, before);
        stream.destroy();
    });

    // Guards against a broken answer that looks complete.
    it("breaks if the target's breaks, and if the peer ends", async context => {
        const accepted: Socket[] = [];
        const address = await startTarget(context, socket => accepted.push(socket));
        const { connect, networks } = await startPair(context, address);
        const reset = await connect();
        const failed = once(reset, "error") as Promise<[NodeJS.ErrnoException]>;
        accepted[0]?.resetAndDestroy();
        const [error] = await failed;
        assert.equal(error.code, "ECONNRESET");

        const second = await connect();
        const closed = once(second, "error");
        await networks[1].stop();
        second.write("bytes");
        await closed;
    });

    it("ends at the target as soon as the caller leaves", async context => {
        const accepted: Socket[] = [];
        const address = await startTarget(context, socket => accepted.push(socket));
        const { connect, other } = await startPair(context, address);
        const stream = await connect();
        stream.write("bytes");
        await waitUntil(() => accepted.length === 1 && (accepted[0]?.bytesRead ?? 0) > 0);
        stream.destroy();
        await waitUntil(() => other.carried() === 0 && accepted[0]?.destroyed === true);
    });

    it("is opened only to targets of the configuration", async context => {
        const address = await startTarget(context, () => undefined);
        const { open } = await startPair(context, "10.0.0.1:1");
        const opened = await open(address);
        assert.ok(opened.isErr);
        assert.equal(opened.error, TunnelAnswer.Forbidden);
    });

    // Guards against calls of others that a planned stop cuts.
    it("is kept by a peer that stops until no call is under way on it, and no other is opened", async context => {
        const address = await startTarget(context, socket => {
            socket.once("data", () => setTimeout(() => socket.write("answer"), 300));
        });
        const { connect, open, other } = await startPair(context, address);
        const stream = await connect();
        stream.on("error", () => undefined);
        stream.write("call");
        const drained = other.drain(clock.monotonicNow() + 5_000);
        const refused = await open();
        assert.ok(refused.isErr);
        assert.equal(refused.error, TunnelAnswer.Unavailable);
        const [answer] = await once(stream, "data") as [Buffer];
        assert.equal(String(answer), "answer");
        await drained;
        assert.equal(other.carried(), 0);
    });
});

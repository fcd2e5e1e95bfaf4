import {
    createHybridLogicalClock,
    ExecutionVerdict,
    type Failure,
    FakeClock,
    type JsonObject,
    MemoryEventLog,
    SystemClock,
} from "daisyturn-utils";
import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer } from "node:net";
import { describe, it, type TestContext } from "node:test";
import { generate } from "selfsigned";
import type { Result } from "true-myth/result";
import { PeerMethod } from "../../process/peers/index.js";
import {
    connectNetworks,
    createLocalIdentity,
    nextHello,
    startPeerNetwork,
    waitUntil,
} from "../__fixtures__/peerNetworks.js";
import type { TcpPeerNetwork } from "../createPeerNetwork.js";
import { splitAddress } from "../peerSockets.js";

const clock = new SystemClock();
const within = (milliseconds = 5_000) => clock.monotonicNow() + milliseconds;

function verdictOf(result: Result<JsonObject, Failure>): ExecutionVerdict | undefined {
    return result.isErr ? result.error.verdict : undefined;
}

/** Sends bytes without a handshake. Resolves with the bytes received once the network has closed the connection. */
async function sendRaw(network: TcpPeerNetwork, bytes: string): Promise<string> {
    const socket = connect(splitAddress(network.self.peerAddress));
    let received = "";
    socket.on("data", (chunk: Buffer) => received += chunk.toString());
    socket.on("error", () => undefined);
    socket.write(bytes);
    await once(socket, "close");
    return received;
}

async function startPair(context: TestContext) {
    const one = await startPeerNetwork(context, "p1");
    const other = await startPeerNetwork(context, "p2");
    await connectNetworks(one, other);
    return { one, other };
}

/** Records the incarnations of accepted peers, and the calls that were run. */
function recordAccepted(...networks: readonly TcpPeerNetwork[]): readonly string[] {
    const accepted: string[] = [];
    for (const network of networks) {
        network.onHello(peer => accepted.push(peer.incarnation));
        network.handle(PeerMethod.AskClaim, () => {
            accepted.push("a call");
            return {};
        });
    }
    return accepted;
}

async function createTls() {
    const { cert, private: key } = await generate([{ name: "commonName", value: "peer" }], { keyType: "ec" });
    return { certificate: cert, key, authority: cert };
}

describe("createPeerNetwork", () => {
    it("connects two processes, which can then call each other both ways", async context => {
        const { one, other } = await startPair(context);
        for (const [from, to] of [[one, other], [other, one]] as const) {
            to.handle(PeerMethod.AskClaim, (peer, parameters) => ({ from: peer.processId, ...parameters }));
            const answer = await from.request(to.self.processId, PeerMethod.AskClaim, { number: 1 }, within());
            assert.deepEqual(answer.unwrapOr({}), { from: from.self.processId, number: 1 });
        }
    });

    it("reports NotRun if nothing was written or the peer refused, and MayHaveRun otherwise", async context => {
        const { one, other } = await startPair(context);
        other.handle(PeerMethod.AskClaim, () => {
            throw new Error("broke halfway");
        });
        other.handle(PeerMethod.ReleaseEngine, () => new Promise(() => undefined));
        const send = (to: string, method: PeerMethod, deadline: number) => one.request(to, method, {}, deadline);
        assert.equal(verdictOf(await send("p3", PeerMethod.AskClaim, within())), ExecutionVerdict.NotRun);
        assert.equal(verdictOf(await send("p2", PeerMethod.AskClaim, within(-1))), ExecutionVerdict.NotRun);
        assert.equal(verdictOf(await send("p2", PeerMethod.QuiesceEngine, within())), ExecutionVerdict.NotRun);
        assert.equal(verdictOf(await send("p2", PeerMethod.AskClaim, within())), ExecutionVerdict.MayHaveRun);
        assert.equal(verdictOf(await send("p2", PeerMethod.ReleaseEngine, within(50))), ExecutionVerdict.MayHaveRun);
        let interrupted: ExecutionVerdict | undefined;
        const longAfterTheTest = within(3_600_000);
        void send("p2", PeerMethod.ReleaseEngine, longAfterTheTest).then(answer => interrupted = verdictOf(answer));
        await other.stop();
        await waitUntil(() => interrupted === ExecutionVerdict.MayHaveRun);
        assert.equal(verdictOf(await send("p2", PeerMethod.ReleaseEngine, within())), ExecutionVerdict.NotRun);
    });

    it("returns the matching answer to each request when answers are reordered, late or missing", async context => {
        const { one, other } = await startPair(context);
        const pending = new Map<number, () => void>();
        other.handle(PeerMethod.AskClaim, async (...[, { number }]) => {
            await new Promise<void>(resolve => pending.set(Number(number), resolve));
            return { number };
        });
        const send = (number: number, limit?: number) =>
            one.request("p2", PeerMethod.AskClaim, { number }, within(limit));
        const late = await send(0, 50);
        const both = [send(1), send(2)];
        await waitUntil(() => pending.size === 3);
        [2, 0, 1].forEach(number => pending.get(number)?.());
        const answers = await Promise.all(both);
        assert.ok(late.isErr);
        assert.deepEqual(answers.map(answer => answer.unwrapOr({})), [{ number: 1 }, { number: 2 }]);
    });

    it("refuses peers with another secret or of another cell, and calls before the proof", async context => {
        const network = await startPeerNetwork(context, "p2", { handshakeLimitMilliseconds: 100 });
        const accepted = recordAccepted(network);
        for (const overrides of [{ secret: "quite another secret" }, { cell: "another cell" }]) {
            const eventLog = new MemoryEventLog();
            const unknownPeer = await startPeerNetwork(context, "p1", { ...overrides, eventLog });
            unknownPeer.connect(network.self.peerAddress);
            await waitUntil(() => eventLog.events.length + accepted.length > 0);
        }
        const call = { jsonrpc: "2.0", id: 1, method: PeerMethod.AskClaim, params: {} };
        const prove = { jsonrpc: "2.0", id: 2, method: "prove", params: { proof: "0".repeat(64) } };
        const received = await sendRaw(network, `${JSON.stringify(call)}\n${JSON.stringify(prove)}\n`);
        assert.equal(received.match(/"error"/g)?.length, 2);
        assert.deepEqual(accepted, []);
    });

    it("disconnects from a peer that answers without knowing the secret", async context => {
        const receivedMethods: string[] = [];
        const impostor = createServer(socket => {
            socket.on("error", () => undefined);
            socket.on("data", (chunk: Buffer) => {
                const { id, method } = JSON.parse(chunk.toString()) as { id: number; method: string; };
                const result = { identity: createLocalIdentity("p9"), nonce: "n", proof: "0".repeat(64) };
                receivedMethods.push(method);
                socket.write(`${JSON.stringify({ jsonrpc: "2.0", id, result })}\n`);
            });
        });
        context.after(() => impostor.close());
        impostor.listen(0, "127.0.0.1");
        await once(impostor, "listening");
        const eventLog = new MemoryEventLog();
        const network = await startPeerNetwork(context, "p1", { eventLog });
        const accepted = recordAccepted(network);
        network.connect(`127.0.0.1:${(impostor.address() as AddressInfo).port}`);
        await waitUntil(() => eventLog.events.length + accepted.length > 0);
        assert.deepEqual([accepted, new Set(receivedMethods)], [[], new Set(["hello"])]);
    });

    it("does not accept its own proof reflected by the peer", async context => {
        const network = await startPeerNetwork(context, "p2", { handshakeLimitMilliseconds: 100 });
        const accepted = recordAccepted(network);
        const socket = connect(splitAddress(network.self.peerAddress));
        const hello = { identity: createLocalIdentity("p9"), nonce: "n" };
        socket.write(`${JSON.stringify({ jsonrpc: "2.0", id: 1, method: "hello", params: hello })}\n`);
        const [chunk] = await once(socket, "data") as [Buffer];
        const { result } = JSON.parse(chunk.toString()) as { result: { proof: string; }; };
        const params = { proof: result.proof };
        socket.write(`${JSON.stringify({ jsonrpc: "2.0", id: 2, method: "prove", params })}\n`);
        await once(socket, "close");
        assert.deepEqual(accepted, []);
    });

    it("closes only the connection that sends invalid JSON, no message or too long a line", async context => {
        const { one, other } = await startPair(context);
        one.handle(PeerMethod.AskClaim, () => ({ fine: true }));
        for (const bytes of ["{\n", "1\n", "[]x\n", "\uFFFF{}\n", "a".repeat(5_000)]) {
            await sendRaw(one, bytes);
        }
        const answer = await other.request("p1", PeerMethod.AskClaim, {}, within());
        assert.deepEqual(answer.unwrapOr({}), { fine: true });
    });

    it("reconnects to a new incarnation at the same address, and refuses the earlier one", async context => {
        const one = await startPeerNetwork(context, "p1");
        const earlier = await startPeerNetwork(context, "p2");
        await connectNetworks(one, earlier);
        await earlier.stop();
        const { port } = splitAddress(earlier.self.peerAddress);
        const hello = nextHello(one);
        const self = { ...createLocalIdentity("p2", "p2-2"), peerAddress: earlier.self.peerAddress };
        await startPeerNetwork(context, "p2", { self, listen: { host: "127.0.0.1", port } });
        assert.equal((await hello).incarnation, "p2-2");
        const eventLog = new MemoryEventLog();
        const earlierIncarnation = await startPeerNetwork(context, "p2", { eventLog });
        const accepted = recordAccepted(one, earlierIncarnation);
        earlierIncarnation.connect(one.self.peerAddress);
        await waitUntil(() => eventLog.events.length > 0);
        assert.deepEqual(accepted, []);
    });

    it("retains one connection when both sides connect at once, and does not close both as idle", async context => {
        const silenceLimitMilliseconds = 500;
        const one = await startPeerNetwork(context, "p1", { silenceLimitMilliseconds });
        const other = await startPeerNetwork(context, "p2", { silenceLimitMilliseconds });
        const hellos = [0, 0];
        one.onHello(() => hellos[0]! += 1);
        other.onHello(() => hellos[1]! += 1);
        one.connect(other.self.peerAddress);
        other.connect(one.self.peerAddress);
        await waitUntil(() => hellos[0] === 2 && hellos[1] === 2);
        const end = within(2_000);
        while (clock.monotonicNow() < end) {
            one.notify("p2", PeerMethod.Heartbeat, {});
            other.notify("p1", PeerMethod.Heartbeat, {});
            await clock.sleepUntil(within(10));
        }
        assert.deepEqual(hellos, [2, 2]);
    });

    it("transfers stamps of the hybrid logical clock", async context => {
        const ahead = new FakeClock();
        ahead.jumpWall(10 * 365 * 86_400_000);
        const one = await startPeerNetwork(context, "p1", { hybridClock: createHybridLogicalClock(ahead) });
        const hybridClock = createHybridLogicalClock(clock);
        const other = await startPeerNetwork(context, "p2", { hybridClock });
        other.handle(PeerMethod.AskClaim, () => ({}));
        await connectNetworks(one, other);
        const sentAt = createHybridLogicalClock(ahead).stamp();
        await one.request("p2", PeerMethod.AskClaim, {}, within());
        assert.ok(hybridClock.stamp() > sentAt);
    });

    it("refuses calls of a peer beyond the limit of concurrent calls", async context => {
        const one = await startPeerNetwork(context, "p1");
        const other = await startPeerNetwork(context, "p2", { maximumRunningCalls: 1 });
        other.handle(PeerMethod.AskClaim, () => new Promise(() => undefined));
        await connectNetworks(one, other);
        void one.request("p2", PeerMethod.AskClaim, {}, within());
        const refused = await one.request("p2", PeerMethod.AskClaim, {}, within());
        assert.equal(verdictOf(refused), ExecutionVerdict.NotRun);
    });

    it("uses mutual TLS if configured, and refuses peers without a certificate of the authority", async context => {
        const tls = await createTls();
        const one = await startPeerNetwork(context, "p1", { tls });
        const other = await startPeerNetwork(context, "p2", { tls });
        other.handle(PeerMethod.AskClaim, () => ({ fine: true }));
        await connectNetworks(one, other);
        assert.ok((await one.request("p2", PeerMethod.AskClaim, {}, within())).isOk);
        const accepted = recordAccepted(other);
        for (const otherTls of [undefined, { ...await createTls(), authority: tls.authority }]) {
            const eventLog = new MemoryEventLog();
            const unknownPeer = await startPeerNetwork(context, "p3", { tls: otherTls, eventLog });
            unknownPeer.connect(other.self.peerAddress);
            await waitUntil(() => eventLog.events.length > 0);
        }
        assert.deepEqual(accepted, []);
    });
});

import { SystemClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { createReadTurns } from "../../bytes/createReadTurns.js";
import { type RawTarget, startRawTarget } from "../../target/__fixtures__/rawTarget.js";
import { ConnectionPolicy, createTargetConnections } from "../../target/createTargetConnections.js";
import { type BenchRelay, createBenchDialer, LinkFault, startRelay } from "../__fixtures__/createTunnelBench.js";

const clock = new SystemClock();

/** Sends one call and returns what was received of its answer. */
type Send = (callId: string) => Promise<{ readonly isWhole: boolean; readonly text: string; }>;

/** Runs a test with a process whose link to the target is lost, and with the peers that carry its calls. */
async function withCarriedCalls(
    answer: (socket: Socket) => unknown,
    run: (send: Send, relays: readonly BenchRelay[], target: RawTarget) => Promise<void>,
): Promise<void> {
    const target = await startRawTarget(answer);
    const relays = [await startRelay("peer-0"), await startRelay("peer-1")];
    const { dialer, links, state } = createBenchDialer(relays);
    state.fault = LinkFault.Refused;
    const barrier = { isPassed: () => true, nextRead: () => Promise.resolve() };
    const connections = createTargetConnections(clock, links, dialer, barrier, createReadTurns());
    const send: Send = async callId => {
        let text = "";
        const result = await connections.send(target.address, ConnectionPolicy.RecentlyVerified, {
            callId,
            head: { method: "POST", path: "/buy", fields: ["Host", "target.example"] },
            body: undefined,
            signal: new AbortController().signal,
            sink: {
                onHead: () => undefined,
                onChunk: chunk => {
                    text += String(chunk);
                    return undefined;
                },
            },
        });
        return { isWhole: result.isOk, text };
    };
    try {
        await run(send, relays, target);
    }
    finally {
        connections.close();
        relays.forEach(({ server }) => server.close());
        await target.close();
    }
}

function findCarrier(relays: readonly BenchRelay[]): BenchRelay {
    const carrier = relays.find(({ server }) => server.carried() > 0);
    assert.ok(carrier);
    return carrier;
}

describe("calls that a peer carries which stops", { concurrency: true }, () => {
    // Guards against an answer that is broken off because its target pauses for longer than a second.
    it("are whole if their target pauses within the answer", () =>
        withCarriedCalls(async socket => {
            socket.write("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nhalf");
            await sleep(1_800);
            socket.write("half");
        }, async (send, relays, target) => {
            const call = send("call-1");
            while (target.connections.length === 0) {
                await sleep(5);
            }
            await findCarrier(relays).server.drain(clock.monotonicNow() + 5_000);
            assert.deepEqual(await call, { isWhole: true, text: "halfhalf" });
        }));

    // Guards against a peer that is used until its end, so that the call which is under way then is cut.
    it("move to another peer before its end if one follows the other", () =>
        withCarriedCalls(async socket => {
            await sleep(100);
            socket.write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
        }, async (send, relays) => {
            const first = await send("call-0");
            assert.ok(first.isWhole);
            const carrier = findCarrier(relays);
            const graceMilliseconds = 5_000;
            let isEnded = false;
            const ended = carrier.server.drain(clock.monotonicNow() + graceMilliseconds).then(() => isEnded = true);
            const startedAt = performance.now();
            const calls = [first];
            while (!isEnded) {
                calls.push(await send(`call-${calls.length}`));
            }
            await ended;
            assert.deepEqual(calls.filter(({ isWhole }) => !isWhole), []);
            assert.ok(performance.now() - startedAt < graceMilliseconds - 500, "the peer was used until its end");
        }));
});

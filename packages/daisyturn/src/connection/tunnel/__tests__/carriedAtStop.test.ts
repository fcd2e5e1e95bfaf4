import { SystemClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { withCarriedCalls } from "../__fixtures__/carriedCalls.js";
import type { BenchRelay } from "../__fixtures__/createTunnelBench.js";

const clock = new SystemClock();

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
        }, async ({ send, relays, target }) => {
            const call = send("call-1");
            while (target.connections.length === 0) {
                await sleep(5);
            }
            await findCarrier(relays).server.drain(clock.monotonicNow() + 5_000);
            assert.deepEqual(await call, { isWhole: true, statuses: [200], text: "halfhalf" });
        }));

    // Guards against a peer that is used until its end, so that the call which is under way then is cut.
    it("move to another peer before its end if one follows the other", () =>
        withCarriedCalls(async socket => {
            await sleep(100);
            socket.write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
        }, async ({ send, relays }) => {
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

import { type Failure, FakeClock, MemoryEventLog } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ok, type Result } from "true-myth/result";
import { type PeerListing, PeerRegistry, type RegisteredPeer } from "../../../ports/peerRegistry.js";
import { DatagramChannel, shareLoads } from "../shareLoads.js";
import { createClosedTargets } from "../targets/createClosedTargets.js";
import { createCacheBeliefs } from "../views/createCacheBeliefs.js";
import { createReadingDemand } from "../views/createReadingDemand.js";
import { createTargetLoads } from "../views/createTargetLoads.js";

/** Processes that hear each other at once, unless the test cuts them off. */
function createProcesses(count: number, zones = 1) {
    const clock = new FakeClock();
    const listeners = new Map<string, (datagram: Buffer) => void>();
    const all: RegisteredPeer[] = [];
    const sent = { near: 0, far: 0, farBytes: 0 };

    class SharedRegistry extends PeerRegistry {
        override async refresh(self: RegisteredPeer): Promise<Result<PeerListing, Failure>> {
            if (!all.some(peer => peer.peerId === self.peerId)) {
                all.push(self);
            }
            return ok({ peers: [...all], unreadable: 0 });
        }

        override async leave(): Promise<void> {}
    }

    const stop = new AbortController();
    const processes = Array.from({ length: count }, (value, index) => {
        const self = {
            peerId: `entry-${String(index).padStart(3, "0")}`,
            host: "10.0.0.1",
            port: index,
            availabilityZone: `zone-${index % zones}`,
        };
        class LocalChannel extends DatagramChannel {
            override send(peer: RegisteredPeer, datagram: Buffer): void {
                if (peer.availabilityZone === self.availabilityZone) {
                    sent.near += 1;
                }
                else {
                    sent.far += 1;
                    sent.farBytes += datagram.length;
                }
                listeners.get(peer.peerId)?.(datagram);
            }

            override onDatagram(listener: (datagram: Buffer) => void): void {
                listeners.set(self.peerId, listener);
            }
        }
        const loads = createTargetLoads(clock);
        const caches = createCacheBeliefs(clock);
        const closed = createClosedTargets(clock);
        const view = shareLoads({
            self,
            registry: new SharedRegistry(),
            channel: new LocalChannel(),
            loads,
            caches,
            demand: createReadingDemand(clock),
            closed,
            clock,
            eventLog: new MemoryEventLog(),
        }, stop.signal);
        return { self, loads, caches, closed, view };
    });
    return { clock, processes, listeners, stop, counts: () => ({ ...sent }) };
}

test("processes tell each other work, kept parts and closed engines", async () => {
    const { clock, processes, stop } = createProcesses(3);
    await clock.advance(6_000);
    const [first, second] = processes;
    assert.ok(first && second);
    const work = first.loads.begin("engine", { work: 80, isDeferred: false, tokens: 500 });
    first.caches.note("engine", [{ partId: "guide", tokens: 9_000 }, { partId: "own", tokens: 10 }], 100_000);
    first.closed.close("other", clock.monotonicNow() + 5_000);
    await clock.advance(250);
    assert.equal(second.loads.wait("engine", false), 80);
    assert.equal(second.loads.tokens("engine"), 500);
    assert.equal(
        second.caches.keptTokens("engine", [{ partId: "guide", tokens: 9_000 }, { partId: "x", tokens: 1 }]),
        9_000,
    );
    assert.equal(second.closed.isClosed("other"), true);
    assert.deepEqual(processes.map(({ view }) => view.isFirst()), [true, false, false]);
    work.end();
    first.closed.reopen("other");
    await clock.advance(250);
    assert.equal(second.loads.wait("engine", false), 0);
    stop.abort();
});

test("what is no message of a peer changes nothing", async () => {
    const { clock, processes, listeners, stop } = createProcesses(2);
    await clock.advance(2_000);
    const texts = ["", "{", "[]", "null", "{\"method\":\"load\"}", "{\"method\":\"load\",\"params\":{\"from\":1}}"];
    texts.push(
        JSON.stringify({ method: "load", params: { from: "x", work: [["a"]], kept: [], demand: [], closed: [] } }),
    );
    texts.forEach(text => listeners.get("entry-001")?.(Buffer.from(text)));
    assert.equal(processes[1]?.loads.calls("a"), 0);
    stop.abort();
});

test("what a process sends stays bounded, however many peers there are", async () => {
    for (const [count, zones] of [[3, 1], [9, 3], [70, 1], [70, 3], [300, 4]] as const) {
        const { clock, processes, counts, stop } = createProcesses(count, zones);
        await clock.advance(16_000);
        processes.forEach(({ loads }) => {
            for (let engine = 0; engine < 20; engine++) {
                loads.begin(`i-${engine}`, { work: 10, isDeferred: false, tokens: 300 });
            }
        });
        const before = counts();
        await clock.advance(3_000);
        const perSecond = (what: keyof typeof before) => (counts()[what] - before[what]) / count / 3;
        assert.ok(perSecond("near") + perSecond("far") > 1, `${count} processes tell nothing`);
        assert.ok(perSecond("near") <= 170, `${count} processes: ${perSecond("near")} datagrams a second each`);
        assert.ok(
            perSecond("far") <= (count < 20 ? 65 : 25),
            `${count} processes: ${perSecond("far")} datagrams a second to other zones`,
        );
        assert.ok(
            perSecond("farBytes") <= (count < 20 ? 45_000 : 16_000),
            `${count} processes: ${perSecond("farBytes")} bytes a second`,
        );
        stop.abort();
        await clock.advance(20_000);
    }
});

test("the processes of a zone hear each other sooner than those of other zones", async () => {
    const { clock, processes, stop } = createProcesses(60, 3);
    await clock.advance(16_000);
    const [first, , , near, far] = processes;
    assert.ok(first && near && far);
    first.loads.begin("engine", { work: 80, isDeferred: false, tokens: 500 });
    await clock.advance(150);
    assert.equal(near.loads.wait("engine", false), 80);
    assert.equal(far.loads.wait("engine", false), 0);
    await clock.advance(2_200);
    assert.equal(far.loads.wait("engine", false), 80);
    await clock.advance(1_500);
    assert.equal(far.loads.wait("engine", false), 80, "not forgotten before it is told anew");
    stop.abort();
});

test("what was placed is told to the peers of all zones", async () => {
    const { clock, processes, stop } = createProcesses(60, 3);
    await clock.advance(16_000);
    const parts = [{ partId: "guide", tokens: 9_000 }, { partId: "own", tokens: 10 }];
    processes[0]?.caches.note("engine", parts, 100_000);
    await clock.advance(2_300);
    assert.deepEqual(processes.slice(1, 6).map(({ caches }) => caches.keptTokens("engine", parts)), [
        9_000,
        9_000,
        9_000,
        9_000,
        9_000,
    ]);
    stop.abort();
});

test("engines that are about to change are told to all zones at once", async () => {
    const { clock, processes, stop } = createProcesses(60, 3);
    await clock.advance(16_000);
    const [first] = processes;
    assert.ok(first);
    first.closed.close("engine", clock.monotonicNow() + 8_000);
    await clock.advance(first.view.pause() + 10);
    assert.ok(first.view.pause() < 400, `${first.view.pause()} ms`);
    assert.ok(processes.every(({ closed }) => closed.isClosed("engine")));
    stop.abort();
});

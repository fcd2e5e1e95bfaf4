import { createSeededRandom, FakeClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { RegisteredPeer } from "../../../../ports/peerRegistry.js";
import { createRelays } from "../createRelays.js";

const address = "10.0.0.1:80";

function createPeers(count: number, zones: number): RegisteredPeer[] {
    return Array.from({ length: count }, (value, index) => ({
        peerId: `entry-${index}`,
        host: `10.1.0.${index}`,
        port: 7_000,
        availabilityZone: `zone-${index % zones}`,
        strength: 1,
    }));
}

function createSetup(peers: readonly RegisteredPeer[], seed = 1) {
    const clock = new FakeClock();
    const state = { refreshes: 0 };
    const relays = createRelays({
        selfId: "entry-0",
        availabilityZone: "zone-0",
        listPeers: () => peers,
        refreshPeers: () => state.refreshes++,
        random: createSeededRandom(seed),
        clock,
    });
    return { clock, relays, state };
}

test("peers of the own zone come first, and those of other zones before the rest of a large zone", () => {
    const { relays } = createSetup(createPeers(300, 3));
    const zones = relays.list(address).slice(0, 8).map(peer => peer.availabilityZone);
    assert.equal(relays.list(address).length, 299);
    assert.deepEqual(zones.slice(0, 3), ["zone-0", "zone-0", "zone-0"]);
    assert.ok(zones.slice(3).every(zone => zone !== "zone-0"), "a zone that is cut off as a whole has a way too");
});

// Guards against one peer that carries the connections of all.
test("different processes ask different peers of a zone first", () => {
    const peers = createPeers(12, 2);
    const first = Array.from({ length: 30 }, (value, seed) => createSetup(peers, seed).relays.list(address)[0]?.peerId);
    assert.equal(new Set(first).size, 5);
});

test("a peer that opened a connection is asked first for five seconds, unless it then refuses one", async () => {
    const { clock, relays } = createSetup(createPeers(30, 3));
    relays.recordOpened("entry-7", address);
    assert.equal(relays.list(address)[0]?.peerId, "entry-7");
    await clock.advance(5_001);
    assert.notEqual(relays.list(address)[0]?.availabilityZone, "zone-1");
    relays.recordOpened("entry-7", address);
    relays.recordRefused("entry-7", address);
    assert.ok(relays.list(address).every(({ peerId }) => peerId !== "entry-7"));
});

test("a refusal counts for its address only, an unreachable peer for all, both for a second", async () => {
    const { clock, relays, state } = createSetup(createPeers(3, 1));
    relays.recordRefused("entry-1", address);
    relays.recordUnreachable("entry-2");
    assert.deepEqual(relays.list("10.0.0.2:80").map(({ peerId }) => peerId), ["entry-1"]);
    assert.equal(state.refreshes, 0);
    assert.deepEqual(relays.list(address), []);
    assert.equal(state.refreshes, 1, "the list of peers may be outdated");
    await clock.advance(1_001);
    assert.equal(relays.list(address).length, 2);
});

test("a process that knows no other one has no peers", () => {
    const { relays } = createSetup(createPeers(1, 1));
    assert.equal(relays.hasPeers(), false);
    assert.deepEqual(relays.list(address), []);
});

import { createSeededRandom, hashTextTo32Bits, rendezvousWeight } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { RegisteredPeer } from "../../../../../ports/peerRegistry.js";
import { selectReplicas } from "../selectReplicas.js";

const createPeer = (peerId: string, availabilityZone: string) =>
    ({ peerId, host: "10.0.0.1", port: 1, availabilityZone, strength: 1 }) satisfies RegisteredPeer;

/** The selection of earlier versions: by weight, the first of each zone before all others. */
function selectBySorting(name: string, peers: readonly RegisteredPeer[]): readonly RegisteredPeer[] {
    const weigh = ({ peerId }: RegisteredPeer) => rendezvousWeight(hashTextTo32Bits(name), hashTextTo32Bits(peerId));
    const ranked = [...peers].sort((left, right) => weigh(right) - weigh(left));
    const zones = ranked.map(peer => peer.availabilityZone);
    const firsts = ranked.filter((peer, index) => zones.indexOf(peer.availabilityZone) === index);
    return [...firsts, ...ranked.filter(peer => !firsts.includes(peer))].slice(0, 3);
}

// Processes of the previous version look for records at the replicas that they would select.
test("selects the same replicas as earlier versions", () => {
    const random = createSeededRandom(5);
    for (let round = 0; round < 500; round++) {
        const [count, zones] = [Math.floor(random.fraction() * 12), 1 + Math.floor(random.fraction() * 5)];
        const peers = Array.from(
            { length: count },
            (value, index) => createPeer(`entry-${round}-${index}`, `zone-${Math.floor(random.fraction() * zones)}`),
        );
        assert.deepEqual(selectReplicas(`stream-${round}`, peers), selectBySorting(`stream-${round}`, peers));
    }
});

// A process that ends selects the replicas of all its records at once.
test("reads each name once for all records", () => {
    let readings = 0;
    const peers = Array.from({ length: 100 }, (value, index) => {
        const peer = createPeer("", `zone-${index % 3}`);
        return Object.defineProperty(peer, "peerId", { get: () => `entry-${index}-${readings++}` });
    });
    for (let record = 0; record < 50; record++) {
        selectReplicas(`stream-${record}`, peers);
    }
    assert.equal(readings, 100);
});

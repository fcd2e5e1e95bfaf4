import { createSeededRandom } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { requestDepth } from "../../../crashes/index.js";
import { createFleet, type Fleet } from "../__fixtures__/createFleet.js";

/** Time within which evidence must be at every process that is in touch with the others. */
const contactMilliseconds = 3_000;
const settleMilliseconds = 6_000;
const secondMilliseconds = 1_000;

/** Records the ends of targets at different processes, one second after the other. */
async function crashAt(fleet: Fleet, indexes: readonly number[], fingerprint = "bad"): Promise<void> {
    for (const [number, index] of indexes.entries()) {
        fleet.processes[index]?.crashEvidence.recordCrash({
            targetId: `t${number}`,
            endedAt: fleet.clock.monotonicNow(),
            uncertainty: 0,
            suspects: [{ fingerprint, chain: 1, depth: requestDepth, wasAnswered: false }],
        });
        if (number < indexes.length - 1) {
            await fleet.clock.advance(secondMilliseconds);
        }
    }
}

function listUnaware(fleet: Fleet, fingerprint = "bad"): string[] {
    return fleet.processes.filter(({ crashEvidence }) => !crashEvidence.findListed(fingerprint))
        .map(({ self }) => self.peerId);
}

describe("evidence in a fleet", () => {
    it("is at all of hundreds of processes in all zones soon after the third end", async () => {
        const fleet = createFleet(150, 3);
        await fleet.clock.advance(settleMilliseconds);
        await crashAt(fleet, [10, 71, 132]);
        await fleet.clock.advance(200);
        assert.deepEqual(listUnaware(fleet), []);
        await fleet.stop();
    });

    it("is taken back at all processes once one of them has seen the request answered", async () => {
        const fleet = createFleet(30, 3);
        await fleet.clock.advance(settleMilliseconds);
        await crashAt(fleet, [10, 21, 2]);
        await fleet.clock.advance(200);
        fleet.processes[5]?.crashEvidence.recordAnswer("bad");
        await fleet.clock.advance(200);
        assert.equal(listUnaware(fleet).length, 30);
        await fleet.stop();
    });

    // Guards against a process that runs the request because it started after the evidence was published.
    it("reaches a process that has just started, in a zone of its own or not", async () => {
        const fleet = createFleet(12, 3);
        await fleet.clock.advance(settleMilliseconds);
        await crashAt(fleet, [1, 2, 3]);
        await fleet.clock.advance(500);
        [4, 5, 6].forEach(index => fleet.restart(index));
        assert.equal(listUnaware(fleet).length, 3);
        await fleet.clock.advance(contactMilliseconds);
        assert.deepEqual(listUnaware(fleet), []);
        await fleet.stop();
    });

    it("reaches all processes while every coordinator has just started anew", async () => {
        const fleet = createFleet(12, 3);
        await fleet.clock.advance(settleMilliseconds);
        await crashAt(fleet, [1, 2, 3]);
        fleet.processes.forEach((process, index) => process.coordination.isCoordinator() && fleet.restart(index));
        await fleet.clock.advance(contactMilliseconds);
        assert.deepEqual(listUnaware(fleet), []);
        await fleet.stop();
    });

    it("reaches processes that were cut off from the others, within the contact time after the link heals", async () => {
        const fleet = createFleet(12, 3);
        await fleet.clock.advance(settleMilliseconds);
        const isCut = ({ availabilityZone }: { availabilityZone: string; }) => availabilityZone === "zone-1";
        fleet.setLink((from, to) => isCut(from) === isCut(to));
        await crashAt(fleet, [1, 2, 3]);
        await fleet.clock.advance(5_000);
        assert.ok(listUnaware(fleet).length > 0);
        fleet.setLink(() => true);
        await fleet.clock.advance(contactMilliseconds);
        assert.deepEqual(listUnaware(fleet), []);
        await fleet.stop();
    });

    it("arrives although a third of all datagrams is lost", async () => {
        for (let seed = 1; seed <= 8; seed++) {
            const fleet = createFleet(24, 3);
            await fleet.clock.advance(settleMilliseconds);
            const random = createSeededRandom(seed);
            fleet.setLink(() => random.fraction() > 1 / 3);
            await crashAt(fleet, [1, 2, 3]);
            await fleet.clock.advance(contactMilliseconds);
            assert.deepEqual(listUnaware(fleet), [], `seed ${seed}`);
            await fleet.stop();
        }
    });

    it("costs nothing while no target ends, and little once all processes have it", async () => {
        const fleet = createFleet(60, 3);
        await fleet.clock.advance(settleMilliseconds);
        const before = fleet.counts();
        await fleet.clock.advance(10_000);
        const calm = fleet.counts();
        await crashAt(fleet, [1, 2, 3]);
        await fleet.clock.advance(2_000);
        const after = fleet.counts();
        await fleet.clock.advance(10_000);
        const later = fleet.counts();
        const sent = (from: typeof before, to: typeof before) => to.near + to.far - from.near - from.far;
        const extra = sent(after, later) - sent(before, calm);
        assert.ok(extra <= 0.02 * sent(before, calm), `${extra} more than ${sent(before, calm)} datagrams`);
        await fleet.stop();
    });

    it("is not accepted from a process that is neither registered nor reports to this one", async () => {
        const fleet = createFleet(3);
        await fleet.clock.advance(settleMilliseconds);
        const records = [0, 1, 2].map(number => ["bad", `t${number}`, number * secondMilliseconds, 0, 1, false]);
        const params = { from: "entry-001", digest: 3, records };
        const datagram = Buffer.from(JSON.stringify({ jsonrpc: "2.0", method: "evidence", params }));
        [...fleet.listeners.values()].forEach(listener => listener(datagram, { host: "10.66.6.6", port: 7_001 }));
        await fleet.clock.advance(secondMilliseconds);
        assert.equal(listUnaware(fleet).length, 3);
        await fleet.stop();
    });
});

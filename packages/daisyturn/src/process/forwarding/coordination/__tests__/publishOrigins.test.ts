import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { engineService } from "../../__fixtures__/placementBench.js";
import { createFleet, type Fleet } from "../__fixtures__/createFleet.js";

const settleMilliseconds = 6_000;
/** Longer than a process must follow the list of targets to vouch for a sole version. */
const historyMilliseconds = 11_000;
const lifetimeMilliseconds = 10_000;
const service = engineService.name;

function createVersionedFleet(count: number, zones = 3): Fleet {
    return createFleet(count, zones, 4, ["v1", "v2"]);
}

function begin(fleet: Fleet, index: number, streamId: string, softwareVersion: string): void {
    const deadline = fleet.clock.monotonicNow() + lifetimeMilliseconds;
    fleet.processes[index]?.origins.record({ streamId, service, softwareVersion, deadline });
}

function createTarget(targetId: string, softwareVersion: string) {
    const target = { targetId, name: targetId, service, address: "10.9.1.1:80", isLeaving: false, softwareVersion };
    return { key: targetId, version: 2, text: JSON.stringify(target) };
}

/** Looks up the origin of a stream at a process. Returns the version, and how long the lookup took. */
async function find(fleet: Fleet, index: number, streamId: string) {
    const startedAt = fleet.clock.monotonicNow();
    let found: { readonly softwareVersion?: string; readonly milliseconds: number; } | undefined;
    void fleet.processes[index]?.coordination.findOrigin(streamId, service).then(origin => {
        found = { softwareVersion: origin?.softwareVersion, milliseconds: fleet.clock.monotonicNow() - startedAt };
    });
    await fleet.clock.advance(200);
    assert.ok(found, "the lookup did not end");
    return found;
}

describe("origins of streams in a fleet", () => {
    // Guards against a fact that ends with the process that has it, and against a caller that is back at once.
    it("are found at any process right after the first event, also once the process that began it has ended", async () => {
        const fleet = createVersionedFleet(8);
        await fleet.clock.advance(settleMilliseconds);
        begin(fleet, 2, "stream", "v2");
        await fleet.clock.advance(5);
        fleet.restart(2);
        for (const index of [0, 1, 2, 5, 7]) {
            const { softwareVersion, milliseconds } = await find(fleet, index, "stream");
            assert.equal(softwareVersion, "v2");
            assert.ok(milliseconds <= 10, `entry ${index} took ${milliseconds} ms`);
        }
        await fleet.stop();
    });

    it("are found once the process that began them and a whole other availability zone have ended", async () => {
        const fleet = createVersionedFleet(9);
        await fleet.clock.advance(settleMilliseconds);
        begin(fleet, 0, "stream", "v1");
        await fleet.clock.advance(5);
        [0, 1, 4, 7].forEach(index => fleet.restart(index));
        assert.equal((await find(fleet, 8, "stream")).softwareVersion, "v1");
        await fleet.stop();
    });

    it("are found in a fleet of hundreds of processes with few datagrams", async () => {
        const fleet = createVersionedFleet(150);
        await fleet.clock.advance(settleMilliseconds);
        begin(fleet, 10, "stream", "v2");
        await fleet.clock.advance(5);
        fleet.restart(10);
        const { softwareVersion, milliseconds } = await find(fleet, 77, "stream");
        assert.equal(softwareVersion, "v2");
        assert.ok(milliseconds <= 160, `${milliseconds} ms`);
        await fleet.stop();
    });

    // Guards against a wait until the caller's deadline, and against a guess.
    it("that no process knows are reported as unknown soon, also while most processes do not answer", async () => {
        const fleet = createVersionedFleet(8);
        await fleet.clock.advance(historyMilliseconds);
        assert.deepEqual(await find(fleet, 0, "nobody's"), { softwareVersion: undefined, milliseconds: 2 });
        fleet.setLink(({ peerId }) => peerId === "entry-000");
        const { softwareVersion, milliseconds } = await find(fleet, 0, "nobody's");
        assert.equal(softwareVersion, undefined);
        assert.ok(milliseconds <= 160, `${milliseconds} ms`);
        await fleet.stop();
    });

    // Guards against a process that is cut off from the store and takes the version that it knows for the only one.
    it("are not guessed by a process that has not noticed another software version", async () => {
        const fleet = createFleet(8, 3);
        await fleet.clock.advance(historyMilliseconds);
        await find(fleet, 0, "early");
        const added = createTarget("i-new", "v2");
        fleet.processes.slice(1).forEach(({ targets }) => targets.change([added]));
        await fleet.clock.advance(historyMilliseconds);
        begin(fleet, 2, "stream", "v2");
        await fleet.clock.advance(5);
        assert.equal((await find(fleet, 0, "stream")).softwareVersion, "v2");
        assert.equal((await find(fleet, 0, "nobody's")).softwareVersion, undefined);
        await fleet.stop();
    });

    it("are handed to other processes by one that stops", async () => {
        const fleet = createVersionedFleet(3, 1);
        await fleet.clock.advance(settleMilliseconds);
        begin(fleet, 0, "stream", "v1");
        [1, 2].forEach(index => fleet.restart(index));
        await fleet.clock.advance(settleMilliseconds);
        fleet.processes[0]?.coordination.stopAnswering();
        await fleet.clock.advance(5);
        fleet.restart(0);
        assert.equal((await find(fleet, 2, "stream")).softwareVersion, "v1");
        await fleet.stop();
    });

    it("cost no datagram while all targets have one software version, which continues every stream", async () => {
        const fleet = createFleet(4);
        await fleet.clock.advance(settleMilliseconds);
        await find(fleet, 0, "early");
        await find(fleet, 1, "early");
        await fleet.clock.advance(historyMilliseconds);
        const idle = await countDatagrams(fleet, () => undefined);
        const begun = await countDatagrams(fleet, () => {
            for (let number = 0; number < 200; number++) {
                begin(fleet, 0, `stream-${number}`, "v1");
            }
        });
        assert.ok(begun <= idle + 2, `${begun} datagrams, ${idle} without streams`);
        assert.deepEqual(await find(fleet, 1, "unknown"), { softwareVersion: "v1", milliseconds: 2 });
        // A process that has just started does not know the targets before, and takes the word of the others.
        fleet.restart(2);
        await fleet.clock.advance(settleMilliseconds);
        assert.equal((await find(fleet, 2, "unknown")).softwareVersion, "v1");
        await fleet.stop();
    });
});

async function countDatagrams(fleet: Fleet, run: () => void): Promise<number> {
    const count = () => fleet.counts().near + fleet.counts().far;
    const before = count();
    run();
    await fleet.clock.advance(1_000);
    return count() - before;
}

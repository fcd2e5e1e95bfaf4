import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { engineService } from "../../../__fixtures__/placementBench.js";
import { createFleet, type Fleet } from "../../__fixtures__/createFleet.js";

const service = engineService.name;
/** As long as a process alone must have followed the targets to know the versions of streams of ten seconds. */
const historyMilliseconds = 11_000;
/** Callers wait for longer than a process that starts anew knows of. */
const patienceMilliseconds = 25_000;

async function find(fleet: Fleet, index: number, streamId: string): Promise<string | undefined> {
    let found: { readonly softwareVersion?: string; } | undefined;
    void fleet.processes[index]?.coordination.findOrigin(streamId, service).then(origin => {
        found = { softwareVersion: origin?.softwareVersion };
    });
    await fleet.clock.advance(1_000);
    assert.ok(found, "the lookup did not end");
    return found.softwareVersion;
}

function begin(fleet: Fleet, index: number, streamId: string, softwareVersion: string): void {
    const deadline = fleet.clock.monotonicNow() + patienceMilliseconds;
    fleet.processes[index]?.origins.record({ streamId, service, softwareVersion, deadline });
}

function createTarget(targetId: string, softwareVersion: string) {
    const target = { targetId, name: targetId, service, address: "10.9.1.1:80", isLeaving: false, softwareVersion };
    return { key: targetId, version: 2, text: JSON.stringify(target) };
}

function removeVersion(fleet: Fleet, softwareVersion: string): void {
    for (const { targets } of fleet.processes) {
        const gone = targets.list(service).filter(target => target.softwareVersion === softwareVersion);
        targets.change(gone.map(({ name }) => ({ key: name, version: 2, text: undefined })));
    }
    fleet.setVersions(["v2"]);
}

describe("the record of software versions", () => {
    // Guards against a memory of versions that ends with the processes, and is as long as what one of them has seen.
    it("outlasts all processes for as long as callers resume streams", async () => {
        const fleet = createFleet(6, 3, 4, ["v1", "v2"]);
        await fleet.clock.advance(historyMilliseconds);
        begin(fleet, 1, "stream", "v1");
        await fleet.clock.advance(1_000);
        removeVersion(fleet, "v1");
        await fleet.clock.advance(1_000);
        fleet.processes.forEach((process, index) => fleet.restart(index));
        // The caller comes back again and again.
        assert.equal(await find(fleet, 0, "stream"), undefined);
        await fleet.clock.advance(historyMilliseconds);
        assert.equal(await find(fleet, 0, "stream"), undefined);
        await fleet.clock.advance(40_000);
        assert.equal(await find(fleet, 0, "other"), "v2");
        await fleet.stop();
    });

    it("lets processes that have just started continue the streams of a sole version", async () => {
        const fleet = createFleet(6, 3);
        await fleet.clock.advance(historyMilliseconds);
        fleet.processes.forEach((process, index) => fleet.restart(index));
        await fleet.clock.advance(500);
        assert.equal(await find(fleet, 0, "stream"), "v1");
        await fleet.stop();
    });

    // Guards against a process that is cut off and takes the version that it knows for the only one.
    it("is asked by a process that may have been out of touch", async () => {
        const fleet = createFleet(6, 3);
        await find(fleet, 0, "early");
        await fleet.clock.advance(historyMilliseconds);
        fleet.setLink((from, to) => ![from, to].some(({ peerId }) => peerId === "entry-000"));
        fleet.setRegistry(({ peerId }) => peerId !== "entry-000");
        fleet.processes.slice(1).forEach(({ targets }) => targets.change([createTarget("i-new", "v2")]));
        begin(fleet, 2, "stream", "v2");
        await fleet.clock.advance(2_500);
        assert.equal(await find(fleet, 0, "stream"), undefined);
        // In touch with the store again, but not with the peers and the list of targets.
        fleet.setRegistry(() => true);
        assert.equal(await find(fleet, 0, "stream"), undefined);
        await fleet.stop();
    });

    it("is replaced by the agreement of most processes while the store does not answer", async () => {
        const fleet = createFleet(6, 3);
        await fleet.clock.advance(historyMilliseconds);
        fleet.setRegistry(() => false);
        assert.equal(await find(fleet, 0, "stream"), "v1");
        fleet.setLink((from, to) => [from, to].every(({ peerId }) => peerId < "entry-003"));
        assert.equal(await find(fleet, 0, "stream"), undefined);
        await fleet.stop();
    });
});

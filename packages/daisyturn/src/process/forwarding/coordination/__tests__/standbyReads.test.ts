import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createStoreFleet, type StoreFleet } from "../__fixtures__/createStoreFleet.js";

const count = 24;
const zones = 3;
/** Time within which a version of the configuration must be in force. */
const boundMilliseconds = 3_000;

function listZone(fleet: StoreFleet, zone: string) {
    return fleet.processes.filter(({ self }) => self.availabilityZone === zone);
}

/** Starts a fleet and returns the candidates of one zone, in their order, and its other processes. */
async function startFleet(moment: number) {
    const fleet = createStoreFleet(count, zones);
    await fleet.clock.advance(6_000 + moment);
    const [coordinator] = fleet.listCoordinators();
    assert.ok(coordinator);
    const zone = listZone(fleet, coordinator.self.availabilityZone);
    const standby = zone.find(process => process !== coordinator && process.coordination.isReader());
    assert.ok(standby);
    const members = zone.filter(process => process !== coordinator && process !== standby);
    return { fleet, coordinator, standby, members };
}

function kill(fleet: StoreFleet, ended: readonly StoreFleet["processes"][number][]) {
    ended.forEach(({ end }) => end());
    const lost = new Set(ended.map(({ self }) => self));
    fleet.setLink((from, to) => !lost.has(from) && !lost.has(to));
}

function countFeeds(fleet: StoreFleet, processes: readonly StoreFleet["processes"][number][]) {
    return processes.reduce((sum, { self }) => sum + fleet.feedsBy(self.peerId), 0);
}

/** Makes a new version and checks that all of the processes have it within the bound. */
async function changeAndCheck(fleet: StoreFleet, processes: readonly StoreFleet["processes"][number][], name: string) {
    fleet.put("configuration", "routes", name);
    await fleet.clock.advance(boundMilliseconds);
    const late = processes.filter(({ self }) => fleet.read(self.peerId, "configuration", "routes") !== name);
    assert.deepEqual(late.map(({ self }) => self.peerId), [], name);
}

/** Moments within one call of the coordinator to the store and one interval of its reports. */
const moments = [0, 380, 760, 1_140];

describe("the standby of a coordinator", () => {
    // Guards against calls of two processes for each change and each wait, where one suffices.
    it("follows the coordinator's reports and does not read the store", async () => {
        const { fleet, coordinator, standby, members } = await startFleet(0);
        const before = [coordinator, standby].map(({ self }) => fleet.feedsBy(self.peerId));
        for (let change = 0; change < 10; change++) {
            fleet.put("targets", "i-1", String(change));
            await fleet.clock.advance(1_000);
            [standby, ...members].forEach(({ self }) =>
                assert.equal(fleet.read(self.peerId, "targets", "i-1"), String(change))
            );
        }
        const [ofCoordinator, ofStandby] = [coordinator, standby].map(({ self }, index) =>
            fleet.feedsBy(self.peerId) - before[index]!
        );
        assert.ok(ofCoordinator! >= 16, `${ofCoordinator} calls of the coordinator`);
        assert.equal(ofStandby, 0);
        await fleet.stop();
    });

    // Guards against a whole group that turns to the store when its coordinator ends.
    it("reads the store in time if the coordinator is killed, so that no member does", async () => {
        for (const moment of moments) {
            const { fleet, coordinator, standby, members } = await startFleet(moment);
            const before = countFeeds(fleet, members);
            kill(fleet, [coordinator]);
            await changeAndCheck(fleet, [standby, ...members], `killed ${moment}`);
            await changeAndCheck(fleet, [standby, ...members], `afterwards ${moment}`);
            await fleet.clock.advance(4_000);
            assert.equal(countFeeds(fleet, members) - before, 0, `killed after ${moment} ms`);
            await fleet.stop();
        }
    });

    it("reads the store in time if the coordinator alone gets no answers from it", async () => {
        for (const moment of moments.filter((...[, index]) => index % 2 === 0)) {
            const { fleet, coordinator, standby, members } = await startFleet(moment);
            const before = countFeeds(fleet, members);
            fleet.setStore(self => self !== coordinator.self);
            await changeAndCheck(fleet, [coordinator, standby, ...members], `cut off ${moment}`);
            await changeAndCheck(fleet, [coordinator, standby, ...members], `afterwards ${moment}`);
            assert.equal(countFeeds(fleet, members) - before, 0, `cut off after ${moment} ms`);
            await fleet.stop();
        }
    });

    it("may end together with the coordinator: the members then read the store in time", async () => {
        for (const moment of moments.filter((...[, index]) => index % 2 === 0)) {
            const { fleet, coordinator, standby, members } = await startFleet(moment);
            kill(fleet, [coordinator, standby]);
            await changeAndCheck(fleet, members, `both killed ${moment}`);
            await changeAndCheck(fleet, members, `afterwards ${moment}`);
            await fleet.stop();
        }
    });
});

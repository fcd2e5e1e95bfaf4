import { FakeClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createGroupSizes } from "../../fleet/createGroupSizes.js";
import { knowsFleet } from "../../fleet/knowsFleet.js";
import { createFleet } from "../__fixtures__/createFleet.js";

// Guards against giving engines back on the demand of a part of the fleet.
test("the coordinators know the fleet, and not while another group doesn't report to them", async () => {
    const fleet = createFleet(60, 3);
    const listKnowing = () => fleet.processes.filter(({ coordination }) => coordination.knowsFleet());
    assert.deepEqual(listKnowing(), [], "at the start");
    await fleet.clock.advance(6_000);
    const acting = fleet.processes.find(({ coordination }) => coordination.isFleetCoordinator());
    assert.ok(acting);
    assert.equal(acting.coordination.knowsFleet(), true);
    assert.ok(listKnowing().length >= 3 && listKnowing().every(({ coordination }) => coordination.isReader()));
    const zone = acting.self.availabilityZone;
    fleet.setLink((from, to) => from.availabilityZone === to.availabilityZone || to.availabilityZone !== zone);
    await fleet.clock.advance(3_000);
    assert.equal(acting.coordination.knowsFleet(), false);
    fleet.setLink(() => true);
    await fleet.clock.advance(3_000);
    assert.equal(acting.coordination.knowsFleet(), true);
    await fleet.stop();
});

test("a coordinator doesn't know the fleet while most of its group don't report to it", async () => {
    const fleet = createFleet(12);
    await fleet.clock.advance(6_000);
    const acting = fleet.processes.find(({ coordination }) => coordination.isFleetCoordinator());
    assert.ok(acting);
    assert.equal(acting.coordination.knowsFleet(), true);
    fleet.setLink((from, to) => to !== acting.self || from.port % 2 === 0);
    await fleet.clock.advance(4_000);
    assert.equal(acting.coordination.knowsFleet(), false);
    await fleet.stop();
});

// Guards against a holder that never orders engines, because processes of its zone report to a coordinator of another zone.
test("a coordinator knows the fleet if the reports of all groups together cover it", async () => {
    const clock = new FakeClock();
    const groupSizes = createGroupSizes(clock, 2_500);
    const peers = Array.from({ length: 40 }, (value, index) => ({
        peerId: `p${index}`,
        host: `10.0.0.${index}`,
        port: 1,
        availabilityZone: index < 20 ? "a" : "b",
        strength: 1,
    }));
    const link = {
        isCandidate: () => true,
        countListed: () => 40,
        listPeers: () => peers,
        listOtherCandidates: () => [peers[20]!],
    };
    const knows = () =>
        knowsFleet({
            link,
            members: { list: () => [] },
            otherCoordinators: { has: peerId => peerId === "p20" },
            groupSizes,
        });
    assert.equal(knows(), false);
    groupSizes.record("p20", 28);
    assert.equal(knows(), false, "29 of 40 are too few");
    groupSizes.record("p20", 30);
    assert.equal(knows(), true);
    await clock.advance(2_500);
    groupSizes.record("p21", undefined);
    assert.equal(knows(), false, "the report has expired");
});

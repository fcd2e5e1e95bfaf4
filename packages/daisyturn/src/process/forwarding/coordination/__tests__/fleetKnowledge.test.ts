import assert from "node:assert/strict";
import { test } from "node:test";
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

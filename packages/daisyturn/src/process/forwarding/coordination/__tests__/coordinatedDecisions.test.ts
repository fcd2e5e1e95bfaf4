import assert from "node:assert/strict";
import { test } from "node:test";
import { createDemand, createShortPrompt } from "../../__fixtures__/placementBench.js";
import { createFleet, type Fleet, type FleetProcess } from "../__fixtures__/createFleet.js";

async function decide({ clock }: Fleet, process: FleetProcess) {
    const deciding = process.coordination.decisions.decide({
        route: "ask",
        demand: createDemand(createShortPrompt("own")),
        patience: 2_000,
        isUnderserved: () => false,
        areLongestUnderserved: () => false,
    });
    await clock.advance(50);
    return await deciding;
}

test("a decision tells which process has made it, also where the coordinator does not answer", async () => {
    const fleet = createFleet(9, 3);
    await fleet.clock.advance(6_000);
    const group = fleet.processes.filter(({ self }) => self.availabilityZone === "zone-0");
    const coordinator = group.find(({ coordination }) => coordination.isCoordinator());
    const member = group.find(process => process !== coordinator);
    assert.ok(coordinator && member);
    assert.equal((await decide(fleet, member))?.decidedBy, coordinator.self.peerId);
    assert.equal((await decide(fleet, coordinator))?.decidedBy, coordinator.self.peerId);
    fleet.setLink((from, to) => ![from, to].includes(coordinator.self));
    assert.equal((await decide(fleet, member))?.decidedBy, member.self.peerId);
    await fleet.stop();
});

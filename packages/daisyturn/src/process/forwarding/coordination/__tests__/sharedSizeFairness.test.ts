import assert from "node:assert/strict";
import { test } from "node:test";
import { createFleet } from "../__fixtures__/createFleet.js";

const route = "ask";
const shortTokens = 1_000;
const longTokens = 20_000;

// Guards against starvation of the longest prompts in large fleets, where each process has too few prompts to detect it.
test("the coordinator detects starvation of the longest prompts across all members of its group", async () => {
    const fleet = createFleet(68, 4);
    await fleet.clock.advance(6_000);
    const group = fleet.processes.filter(({ self }) => self.availabilityZone === "zone-0");
    const coordinator = group.find(({ coordination }) => coordination.isCoordinator());
    const member = group.find(process => process !== coordinator);
    assert.ok(coordinator && member);
    for (const { sizeFairness } of group) {
        for (let prompt = 0; prompt < 3; prompt++) {
            sizeFairness.begin(route, shortTokens).end(true);
        }
        sizeFairness.begin(route, longTokens).end(false);
    }
    await fleet.clock.advance(1_500);
    assert.equal(coordinator.sizeFairness.isUnderserved(route, longTokens), true);
    assert.equal(coordinator.sizeFairness.isUnderserved(route, shortTokens), false);
    assert.equal(member.sizeFairness.isUnderserved(route, longTokens), false, "a single process has too few prompts");
    await fleet.stop();
});

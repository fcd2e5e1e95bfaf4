import assert from "node:assert/strict";
import { test } from "node:test";
import type { ListedTarget } from "../../../../ports/listedTarget.js";
import { createDemand, createShortPrompt } from "../../__fixtures__/placementBench.js";
import { createFleet, type Fleet, type FleetProcess } from "../__fixtures__/createFleet.js";
import { readDecision } from "../createPlacementServer.js";

async function decide({ clock }: Fleet, process: FleetProcess, softwareVersion?: string) {
    const deciding = process.coordination.decisions.decide({
        route: "ask",
        demand: createDemand(createShortPrompt("own"), { softwareVersion }),
        patience: 2_000,
        isUnderserved: () => false,
        areLongestUnderserved: () => false,
    });
    await clock.advance(50);
    return await deciding;
}

test("a decision names the process that made it, even if the coordinator does not answer", async () => {
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

test("a coordinator places a stream that has begun at the software version that began it", async () => {
    const fleet = createFleet(9, 3, 4, ["v1", "v2"]);
    await fleet.clock.advance(6_000);
    const coordinator = fleet.listCoordinators()[0];
    const member = fleet.processes.find(process => process !== coordinator);
    assert.ok(coordinator && member);
    for (const softwareVersion of ["v1", "v2", "v1"]) {
        const decision = await decide(fleet, member, softwareVersion);
        assert.equal(decision?.decidedBy, coordinator.self.peerId);
        assert.equal(decision.placement.decode.target.softwareVersion, softwareVersion);
    }
    await fleet.stop();
});

// Guards against coordinators of an earlier version of this program, which do not regard software versions.
test("an answer of a coordinator that names an engine of another software version is not used", () => {
    const step = (targetId: string) => ({ targetId, work: 1, wait: 0, leastWork: 1, keptTokens: 0 });
    const read = (prefill: string, softwareVersion?: string) => {
        const answer = {
            from: "entry-1",
            askId: 1,
            number: 1,
            prefill: step(prefill),
            decode: step("decode-v1"),
            firstEvent: 1,
            soonestEvent: 1,
            reading: 1,
            isDeferred: false,
            isOwed: false,
        };
        const findTarget = (targetId: string) =>
            ({ targetId, softwareVersion: targetId.slice(-2) }) as unknown as ListedTarget;
        return readDecision(answer, 2_000, softwareVersion, findTarget);
    };
    assert.ok(read("prefill-v1"));
    assert.ok(read("prefill-v1", "v1"));
    assert.equal(read("prefill-v2"), undefined);
    assert.equal(read("prefill-v1", "v2"), undefined);
});

import assert from "node:assert/strict";
import { it } from "node:test";
import { createFleet } from "../__fixtures__/createFleet.js";
import { rankCoordinators } from "../election/rankCoordinators.js";

// Entries of ended processes stay in the registry for minutes. The members of a group whose first two coordinators had
// ended sent their usage counts to these, and the holder of the duties asked only these.
it("lists the processes that coordinate a group in place of those that have ended", async () => {
    const fleet = createFleet(30, 3);
    await fleet.clock.advance(8_000);
    const zone = fleet.processes[0]!.self.availabilityZone;
    const group = fleet.processes.filter(({ self }) => self.availabilityZone === zone);
    const ranking = rankCoordinators(group.map(({ self }) => self)).map(({ peerId }) => peerId);
    const ended = ranking.slice(0, 2);
    fleet.setLink((from, to) => !ended.includes(from.peerId) && !ended.includes(to.peerId));
    await fleet.clock.advance(6_000);
    const acting = ranking.slice(2, 4);
    group.filter(({ self }) => !ended.includes(self.peerId)).forEach(({ self, coordination: { peers } }) => {
        const listed = new Set(peers.listGroupCoordinators().map(({ peerId }) => peerId));
        assert.ok(acting.every(peerId => listed.has(peerId)), `${self.peerId} knows ${[...listed].join(" ")}`);
    });
    const leaders = fleet.listCoordinators().filter(({ self }) => self.availabilityZone !== zone);
    assert.equal(leaders.length, 2);
    leaders.forEach(({ self, coordination: { peers } }) => {
        const listed = peers.listCoordinators().map(({ peerId }) => peerId);
        assert.ok(listed.includes(acting[0]!), `${self.peerId} knows ${listed.join(" ")}`);
    });
    await fleet.stop();
});

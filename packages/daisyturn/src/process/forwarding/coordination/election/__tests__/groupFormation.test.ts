import assert from "node:assert/strict";
import { test } from "node:test";
import { createFleet } from "../../__fixtures__/createFleet.js";

// Guards against processes that read the registry while few entries were listed, and then followed the coordinator of
// another zone for as long as it answered them.
test("a group consists of the processes of one zone, also for those that started when the registry listed few", async () => {
    const fleet = createFleet(60, 3);
    const first = new Set(fleet.processes.slice(0, 15).map(({ self }) => self.peerId));
    fleet.setRegistry(({ peerId }) => first.has(peerId));
    await fleet.clock.advance(3_000);
    fleet.setRegistry(() => true);
    // A coordinator reads the registry every 10 s, and another process that becomes one does so within 2 s.
    await fleet.clock.advance(13_000);
    fleet.processes.forEach(({ self, coordination }) =>
        assert.equal(coordination.peers.listCoordinators()[0]?.availabilityZone, self.availabilityZone, self.peerId)
    );
    await fleet.stop();
});

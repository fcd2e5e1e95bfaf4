import { FakeClock, MemoryEventLog } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { RegisteredPeer } from "../../../../ports/peerRegistry.js";
import { createCoordinatorLink } from "../createCoordinatorLink.js";

function createPeer(peerId: string, strength: number): RegisteredPeer {
    return { peerId, host: "10.0.0.1", port: 1, availabilityZone: "z", strength };
}

// Guards against a lease that changes hands because one process got two answers late.
test("the leader does not change when requests to it time out, and changes when it falls silent or stops", async () => {
    const clock = new FakeClock();
    const self = createPeer("self", 1);
    const first = createPeer("first", 3);
    const second = createPeer("second", 2);
    const link = createCoordinatorLink({ self, clock, eventLog: new MemoryEventLog() });
    link.setPeers([self, first, second]);
    link.recordContact("first", true);
    link.recordContact("second", true);
    link.recordTimeout("first");
    link.recordTimeout("first");
    assert.equal(link.current()?.peerId, "second", "prompts are placed by another one for a while");
    assert.equal(link.leader()?.peerId, "first");
    link.recordContact("first", false);
    assert.equal(link.leader()?.peerId, "second");
    await clock.advance(1_400);
    assert.equal(link.leader()?.peerId, "self");
});

import { EventKind } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { EngineStage } from "../../../../ports/listedTarget.js";
import { LeaseState } from "../../../lease/index.js";
import { createScene } from "../__fixtures__/createScene.js";

// Guards against an outage that begins anew whenever another process takes itself for the coordinator.
test("the lease holder goes on ordering engines while none decodes, whoever coordinates", async () => {
    let isPlanner = true;
    const { clock, sent, end, isLeaseRunning } = createScene({ readers: 3, decoders: 0, isPlanner: () => isPlanner });
    await clock.advance(150);
    assert.equal(isLeaseRunning(), true);
    isPlanner = false;
    await clock.advance(1_000);
    assert.ok(sent.length > 0);
    await end();
});

// Guards against forecasts of a process that is not sent the load of the others.
test("a lease holder that is not the planner makes no other changes", async () => {
    let isPlanner = true;
    const { clock, sent, beginDecodeCalls, demandPrefill, list, end } = createScene({
        readers: 3,
        decoders: 0,
        isPlanner: () => isPlanner,
    });
    await clock.advance(150);
    isPlanner = false;
    ["d0", "d1", "d2", "d3", "d4"].forEach(targetId => list(targetId, EngineStage.Decode));
    beginDecodeCalls(3, 6);
    await demandPrefill(12, 6_000);
    assert.deepEqual(sent, []);
    await end();
});

// Guards against an outage of the length of a lease after its holder has restarted.
test("a process that held the lease when it ended takes it up, and orders engines while none decodes", async () => {
    const leaseState = LeaseState.Interrupted;
    const { clock, sent, end } = createScene({ readers: 3, decoders: 0, isPlanner: false, leaseState });
    await clock.advance(1_000);
    assert.ok(sent.length > 0);
    await end();

    const calm = createScene({ readers: 3, decoders: 3, isPlanner: false, leaseState });
    await calm.clock.advance(1_000);
    assert.equal(calm.isLeaseRunning(), true);
    await calm.clock.advance(3_000);
    assert.equal(calm.isLeaseRunning(), false, "others can have it at once");
    await calm.end();
});

test("the first lease of an era of the store is acquired by the planner before it is needed", async () => {
    for (const isPlanner of [true, false]) {
        const { clock, end, isLeaseRunning } = createScene({
            readers: 3,
            decoders: 3,
            isPlanner,
            leaseState: LeaseState.NotInEra,
        });
        await clock.advance(500);
        assert.equal(isLeaseRunning(), isPlanner);
        await end();
    }
});

// Guards against a standby that begins to wait for a dead holder's lease only once it has become the coordinator.
test("the standby observes the lease while no engine decodes, and orders nothing", async () => {
    const scene = createScene({ readers: 3, decoders: 0, isPlanner: false, isStandby: true, isLeaseHeld: () => false });
    await scene.clock.advance(1_000);
    assert.equal(scene.isLeaseRunning(), true);
    assert.deepEqual(scene.sent, []);
    await scene.end();
});

// Guards against changes one after the other, each of which takes seconds, while nothing is served.
test("as many engines as must decode change at once while none decodes", async () => {
    const { clock, sent, end } = createScene({ readers: 9, decoders: 0 });
    await clock.advance(1_000);
    assert.deepEqual(sent.map(({ stage }) => stage), Array(3).fill(EngineStage.Decode));
    await clock.advance(3_000);
    assert.equal(sent.length, 3);
    await end();
});

// Guards against an outage that is not logged since an earlier one ended while another process planned.
test("each outage is logged, whichever process ends it", async () => {
    let isPlanner = true;
    const { clock, list, eventLog, end } = createScene({ readers: 1, decoders: 0, isPlanner: () => isPlanner });
    await clock.advance(150);
    isPlanner = false;
    list("p0", EngineStage.Decode);
    await clock.advance(500);
    isPlanner = true;
    list("p0", EngineStage.Prefill);
    await clock.advance(150);
    assert.deepEqual(eventLog.of(EventKind.StageMissing).map(({ fields }) => fields["lasting"]), [0, 0]);
    assert.equal(eventLog.of(EventKind.StageRestored).length, 1);
    await end();
});

// Guards against a first lease that is given up in the moment in which it could be acquired.
test("a lease that takes its whole length to be acquired is waited for, and released when it is not needed", async () => {
    const { clock, end, isLeaseRunning } = createScene({
        readers: 3,
        decoders: 3,
        leaseState: LeaseState.NotInEra,
        acquiredAfter: 3_300,
    });
    await clock.advance(3_250);
    assert.equal(isLeaseRunning(), true);
    await clock.advance(3_000);
    assert.equal(isLeaseRunning(), false);
    await end();
});

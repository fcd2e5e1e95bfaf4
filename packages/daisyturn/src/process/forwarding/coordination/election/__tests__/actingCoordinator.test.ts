import assert from "node:assert/strict";
import { test } from "node:test";
import { createFleet, type Fleet, type FleetProcess } from "../../__fixtures__/createFleet.js";

function listActing({ processes }: Fleet) {
    return processes.filter(({ coordination }) => coordination.isFleetCoordinator());
}

// Guards against a holder of orders that reaches no engine while others do.
test("another process acts for the fleet while its coordinator is cut off from most targets", async () => {
    const fleet = createFleet(6);
    await fleet.clock.advance(6_000);
    const [coordinator] = listActing(fleet);
    assert.ok(coordinator && listActing(fleet).length === 1);
    coordinator.links.recordLost("10.9.0.0:80");
    await fleet.clock.advance(600);
    const [standIn] = listActing(fleet);
    assert.equal(listActing(fleet).length, 1);
    assert.ok(standIn && standIn !== coordinator);
    assert.equal(coordinator.coordination.isCoordinator(), true, "it still places prompts");
    coordinator.links.recordOpened("10.9.0.0:80");
    await fleet.clock.advance(600);
    assert.deepEqual(listActing(fleet), [coordinator]);
    await fleet.stop();
});

// Guards against a coordinator that keeps all others from the lease that it can't renew.
test("work under a lease moves to a coordinator that the store answers, and not without one", async () => {
    const fleet = createFleet(60, 3);
    const listLeaseCoordinators = () => fleet.processes.filter(({ coordination }) => coordination.isLeaseCoordinator());
    const fail = ({ coordination }: FleetProcess) => coordination.tableReader.recordFailure("targets");
    const page = { rows: [], position: { era: 0, version: 1 }, isHistoryLost: false };
    await fleet.clock.advance(6_000);
    const [first] = listActing(fleet);
    assert.ok(first);
    fleet.processes.forEach(({ coordination }) => coordination.tableReader.recordAnswer("targets", page, undefined));
    fail(first);
    await fleet.clock.advance(1_000);
    assert.deepEqual(listLeaseCoordinators(), [first], "a short loss of answers changes nothing");
    await fleet.clock.advance(2_500);
    assert.deepEqual(listActing(fleet), [first]);
    const [second] = listLeaseCoordinators();
    assert.equal(listLeaseCoordinators().length, 1);
    assert.ok(second && second !== first && second.coordination.mayKeepLease() && !first.coordination.mayKeepLease());
    fleet.processes.forEach(fail);
    await fleet.clock.advance(3_000);
    assert.deepEqual(listLeaseCoordinators(), [first], "with the store silent for all, the lease stays where it was");
    await fleet.stop();
});

test("a coordinator of another group acts for the fleet while the first one is cut off", async () => {
    const fleet = createFleet(60, 3);
    await fleet.clock.advance(6_000);
    const [first] = listActing(fleet);
    assert.ok(first && listActing(fleet).length === 1);
    first.links.recordLost("10.9.0.0:80");
    await fleet.clock.advance(1_200);
    const [second] = listActing(fleet);
    assert.equal(listActing(fleet).length, 1);
    assert.ok(second && second !== first && second.coordination.isCoordinator());
    await fleet.stop();
});

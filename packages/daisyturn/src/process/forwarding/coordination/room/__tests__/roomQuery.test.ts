import assert from "node:assert/strict";
import { test } from "node:test";
import { createFleet } from "../../__fixtures__/createFleet.js";

const settleMilliseconds = 6_000;
const answerMilliseconds = 20;
const askIntervalMilliseconds = 250;
const forgottenMilliseconds = 1_000;

// Guards against connections that are closed though no other process can take them, or because one could long ago.
test("another process has room only while it says so", async () => {
    const fleet = createFleet(8, 3);
    await fleet.clock.advance(settleMilliseconds);
    const [crowded, ...others] = fleet.processes;
    const hasRoom = () => crowded?.coordination.hasRoomElsewhere();
    assert.equal(hasRoom(), false, "nobody has been asked");
    await fleet.clock.advance(answerMilliseconds);
    assert.equal(hasRoom(), true);
    others.forEach(({ processor }) => {
        processor.utilization = 0.9;
    });
    for (let asked = 0; asked < forgottenMilliseconds / askIntervalMilliseconds; asked++) {
        hasRoom();
        await fleet.clock.advance(askIntervalMilliseconds);
    }
    assert.equal(hasRoom(), false);
    await fleet.stop();
});

// Guards against a query that costs messages while no process has too many connections.
test("costs few datagrams while many connections arrive", async () => {
    const fleet = createFleet(8, 3);
    await fleet.clock.advance(settleMilliseconds);
    const count = () => {
        const { near, far } = fleet.counts();
        return near + far;
    };
    const before = count();
    for (let connection = 0; connection < 100; connection++) {
        fleet.processes[0]?.coordination.hasRoomElsewhere();
    }
    assert.equal(count() - before, 3, "one query for all connections");
    await fleet.stop();
});

import assert from "node:assert/strict";
import { test } from "node:test";
import { createFleet } from "../../__fixtures__/createFleet.js";

const settleMilliseconds = 15_000;

// Guards against processes that know fewer than there are, because they read the registry before the others had registered
// and then confirm each other's number: each would take a larger share of the retry budget's slack.
for (const [processes, zones] of [[1, 1], [9, 3], [30, 2], [68, 4]] as const) {
    test(`all of ${processes} processes know how many there are, also after restarts`, async () => {
        const fleet = createFleet(processes, zones);
        const assertCounted = () =>
            fleet.processes.forEach(({ self, coordination }) =>
                assert.equal(coordination.countProcesses(), processes, self.peerId)
            );
        await fleet.clock.advance(settleMilliseconds);
        assertCounted();
        for (let index = 0; index < processes; index += 3) {
            fleet.restart(index);
        }
        await fleet.clock.advance(settleMilliseconds);
        assertCounted();
        await fleet.stop();
    });
}

test("the number of processes is unknown before the registry was read", () => {
    const fleet = createFleet(2);
    assert.equal(fleet.processes[0]?.coordination.countProcesses(), undefined);
});

import { FakeClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createTargetLoads } from "../createTargetLoads.js";

const createWork = (
    calls: number,
) => [{ targetId: "a", calls, work: calls * 10, deferredWork: 0, tokens: calls * 100 }];

describe("the work of other processes at a target", () => {
    // Guards against sums that are kept although a report has changed them or has expired.
    it("follows each report, its replacement, its removal and its expiry", async () => {
        const clock = new FakeClock();
        const loads = createTargetLoads(clock);
        const read = () => [loads.calls("a"), loads.tokens("a"), loads.wait("a", false)];
        assert.deepEqual(read(), [0, 0, 0]);
        loads.recordPeer("p", createWork(2), 0);
        assert.deepEqual(read(), [2, 200, 20]);
        loads.recordGroup("g", createWork(3), 10_000);
        assert.deepEqual(read(), [5, 500, 50]);
        loads.recordPeer("p", createWork(4), 0);
        assert.deepEqual(read(), [7, 700, 70]);
        loads.recordPeer("q", createWork(1), 10_000);
        loads.forgetPeer("q");
        assert.deepEqual(read(), [7, 700, 70]);
        await clock.advance(5_000);
        assert.deepEqual(read(), [3, 300, 30]);
        await clock.advance(60_000);
        assert.deepEqual(read(), [0, 0, 0]);
    });

    // A placement asks for each of up to 200 engines several times, and each reading of the clock is a call to the system.
    it("is found with one reading of the clock", () => {
        const clock = new FakeClock();
        const loads = createTargetLoads(clock);
        loads.recordPeer("p", createWork(2), 0);
        loads.recordGroup("g", createWork(3), 0);
        loads.begin("a", { work: 5, isDeferred: false, tokens: 1 });
        let readings = 0;
        const monotonicNow = clock.monotonicNow.bind(clock);
        clock.monotonicNow = () => {
            readings += 1;
            return monotonicNow();
        };
        loads.calls("a");
        loads.tokens("a");
        loads.wait("a", true);
        assert.equal(readings, 3);
    });
});

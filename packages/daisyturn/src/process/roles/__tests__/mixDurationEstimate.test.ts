import { FakeClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createMixDurationEstimate } from "../mixDurationEstimate.js";

const second = 1_000;

/** Records a share every second. The shares alternate between two mixes of `mixSeconds` each. */
async function swing(clock: FakeClock, mixSeconds: number, rounds: number) {
    const estimate = createMixDurationEstimate({ clock, priorMilliseconds: 60 * second });
    for (let tick = 0; tick < mixSeconds * rounds; tick++) {
        estimate.record(Math.floor(tick / mixSeconds) % 2 === 0 ? 0.8 : 0.2);
        await clock.advance(second);
    }
    return estimate;
}

describe("createMixDurationEstimate", () => {
    it("expects the prior duration before the first record", () => {
        const estimate = createMixDurationEstimate({ clock: new FakeClock(), priorMilliseconds: 60 * second });
        assert.equal(estimate.expectedRemaining(), 60 * second);
    });

    it("learns a short duration of mixes", async () => {
        const estimate = await swing(new FakeClock(), 5, 12);
        assert.ok(estimate.expectedRemaining() <= 6 * second);
    });

    it("expects a mix that has lasted long to last for some time more", async () => {
        const clock = new FakeClock();
        const estimate = await swing(clock, 300, 1);
        assert.ok(estimate.expectedRemaining() >= 140 * second);
    });

    it("ignores a single deviating share", async () => {
        const clock = new FakeClock();
        const estimate = createMixDurationEstimate({ clock, priorMilliseconds: 60 * second });
        for (const share of [0.5, 0.5, 0.9, 0.5, 0.5]) {
            estimate.record(share);
            await clock.advance(second);
        }
        // Still the first mix: 5 of the expected 60 seconds have elapsed.
        assert.equal(estimate.expectedRemaining(), 55 * second);
    });
});

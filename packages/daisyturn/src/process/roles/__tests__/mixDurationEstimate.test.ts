import { FakeClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createMixDurationEstimate } from "../mixDurationEstimate.js";

const second = 1_000;

/** Notes a share every second that swings between two mixes, each lasting `mixSeconds`. */
async function swing(clock: FakeClock, mixSeconds: number, rounds: number) {
    const persistence = createMixDurationEstimate({ clock, priorMilliseconds: 60 * second });
    for (let tick = 0; tick < mixSeconds * rounds; tick++) {
        persistence.note(Math.floor(tick / mixSeconds) % 2 === 0 ? 0.8 : 0.2);
        await clock.advance(second);
    }
    return persistence;
}

describe("createMixPersistence", () => {
    it("expects the prior before anything is known", () => {
        const persistence = createMixDurationEstimate({ clock: new FakeClock(), priorMilliseconds: 60 * second });
        assert.equal(persistence.expectedRemaining(), 60 * second);
    });

    it("learns that a mix swings fast", async () => {
        const persistence = await swing(new FakeClock(), 5, 12);
        assert.ok(persistence.expectedRemaining() <= 6 * second);
    });

    it("expects a mix that has held long to go on for a good while", async () => {
        const clock = new FakeClock();
        const persistence = await swing(clock, 300, 1);
        assert.ok(persistence.expectedRemaining() >= 140 * second);
    });

    it("takes one odd share for chance", async () => {
        const clock = new FakeClock();
        const persistence = createMixDurationEstimate({ clock, priorMilliseconds: 60 * second });
        for (const share of [0.5, 0.5, 0.9, 0.5, 0.5]) {
            persistence.note(share);
            await clock.advance(second);
        }
        // One run only: its five seconds have gone by of the sixty expected.
        assert.equal(persistence.expectedRemaining(), 55 * second);
    });
});

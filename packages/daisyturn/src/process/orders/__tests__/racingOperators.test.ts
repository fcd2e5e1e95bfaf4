import { describe, it } from "node:test";
import { raceOverSeeds } from "../__fixtures__/raceOverSeeds.js";

describe("operators of both partners at one engine", () => {
    it("never cause conflicting orders or override a hold, over 1,000 seeds", () =>
        raceOverSeeds(1_000, seed => ({
            seed,
            checksFencingNumbers: seed % 2 === 0,
            hasHolds: true,
            faultCount: 0,
        })));
});

import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { chooseRoleSplit, computeNetWorth, type RoleSplitInput } from "../chooseRoleSplit.js";

function createInput(changes: Partial<RoleSplitInput> = {}): RoleSplitInput {
    return {
        prefillEngines: 4,
        decodeEngines: 4,
        prefillDemand: 3,
        decodeDemand: 3,
        meanPrefillDemand: 3,
        meanDecodeDemand: 3,
        detectionMilliseconds: 12_000,
        worthPerSecond: 40,
        changeCost: 1,
        expectedMixMilliseconds: 60_000,
        changeMilliseconds: 8_000,
        ...changes,
    };
}

describe("chooseRoleSplit", () => {
    it("keeps a split that serves all work", () => {
        assert.deepEqual(chooseRoleSplit(createInput()), { prefillEngines: 4, netWorth: 0 });
    });

    it("changes engines to the scarcer role", () => {
        const choice = chooseRoleSplit(createInput({ prefillDemand: 1.5, decodeDemand: 5.5 }));
        assert.equal(choice.prefillEngines, 2);
    });

    it("keeps the split if the mix ends before a change has paid off", () => {
        const input = createInput({ prefillDemand: 1.5, decodeDemand: 5.5, expectedMixMilliseconds: 12_000 });
        assert.equal(chooseRoleSplit(input).prefillEngines, 4);
    });

    it("keeps the split if a change costs too much", () => {
        const input = createInput({ prefillDemand: 2, decodeDemand: 4.2, worthPerSecond: 1 });
        const cheap = chooseRoleSplit(input).prefillEngines;
        const expensive = chooseRoleSplit({ ...input, changeCost: 1_000 }).prefillEngines;
        assert.ok(cheap < 4);
        assert.equal(expensive, 4);
    });

    it("does not follow a mix if the split would be wrong for too long after its end", () => {
        const swing = createInput({ prefillDemand: 3.6, decodeDemand: 2, expectedMixMilliseconds: 20_000 });
        const opposite = { meanPrefillDemand: 2, meanDecodeDemand: 3.6 };
        assert.equal(chooseRoleSplit({ ...swing, ...opposite }).prefillEngines, 4);
        assert.equal(chooseRoleSplit({ ...swing, meanPrefillDemand: 3.6, meanDecodeDemand: 2 }).prefillEngines, 5);
    });

    it("returns the greatest net worth of all splits, or zero for the present split", () => {
        fc.assert(
            fc.property(
                fc.integer({ min: 1, max: 8 }),
                fc.integer({ min: 1, max: 8 }),
                fc.double({ min: 0, max: 12, noNaN: true }),
                fc.double({ min: 0, max: 12, noNaN: true }),
                fc.integer({ min: 1_000, max: 200_000 }),
                (prefillEngines, decodeEngines, prefillDemand, decodeDemand, expectedMixMilliseconds) => {
                    const input = createInput({
                        prefillEngines,
                        decodeEngines,
                        prefillDemand,
                        decodeDemand,
                        expectedMixMilliseconds,
                    });
                    const splits = Array.from(
                        { length: prefillEngines + decodeEngines - 1 },
                        (unused, index) => index + 1,
                    );
                    const best = Math.max(0, ...splits.map(split => computeNetWorth(input, split)));
                    assert.equal(chooseRoleSplit(input).netWorth, best);
                },
            ),
            { seed: 3, numRuns: 300 },
        );
    });
});

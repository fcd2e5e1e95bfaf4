import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { chooseRoleSplit, computeNetWorth, type RoleSplitInput } from "../chooseRoleSplit.js";

function createQuestion(changes: Partial<RoleSplitInput> = {}): RoleSplitInput {
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

describe("chooseSplit", () => {
    it("leaves a split that serves everything as it is", () => {
        assert.deepEqual(chooseRoleSplit(createQuestion()), { prefillEngines: 4, net: 0 });
    });

    it("moves engines to the role that limits", () => {
        const answer = chooseRoleSplit(createQuestion({ prefillDemand: 1.5, decodeDemand: 5.5 }));
        assert.equal(answer.prefillEngines, 2);
    });

    it("rides out a mix that changes back before the change has paid", () => {
        const question = createQuestion({ prefillDemand: 1.5, decodeDemand: 5.5, expectedMixMilliseconds: 12_000 });
        assert.equal(chooseRoleSplit(question).prefillEngines, 4);
    });

    it("changes less where a change costs more", () => {
        const question = createQuestion({ prefillDemand: 2, decodeDemand: 4.2, worthPerSecond: 1 });
        const cheap = chooseRoleSplit(question).prefillEngines;
        const dear = chooseRoleSplit({ ...question, changeCost: 1_000 }).prefillEngines;
        assert.ok(cheap < 4);
        assert.equal(dear, 4);
    });

    it("does not follow a mix whose end would leave the split wrong for longer than the mix lasts", () => {
        const swing = createQuestion({ prefillDemand: 3.6, decodeDemand: 2, expectedMixMilliseconds: 20_000 });
        const opposite = { meanPrefillDemand: 2, meanDecodeDemand: 3.6 };
        assert.equal(chooseRoleSplit({ ...swing, ...opposite }).prefillEngines, 4);
        assert.equal(chooseRoleSplit({ ...swing, meanPrefillDemand: 3.6, meanDecodeDemand: 2 }).prefillEngines, 5);
    });

    it("gives no net worth that is below the best of all splits or of staying", () => {
        fc.assert(
            fc.property(
                fc.integer({ min: 1, max: 8 }),
                fc.integer({ min: 1, max: 8 }),
                fc.double({ min: 0, max: 12, noNaN: true }),
                fc.double({ min: 0, max: 12, noNaN: true }),
                fc.integer({ min: 1_000, max: 200_000 }),
                (prefillEngines, decodeEngines, prefillDemand, decodeDemand, expectedMixMilliseconds) => {
                    const question = createQuestion({
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
                    const best = Math.max(0, ...splits.map(split => computeNetWorth(question, split)));
                    assert.equal(chooseRoleSplit(question).net, best);
                },
            ),
            { seed: 3, numRuns: 300 },
        );
    });
});

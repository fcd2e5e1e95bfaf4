import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createMeanDemand } from "../meanDemand.js";

const evenSplit = { prefillEngines: 3, decodeEngines: 3 };

describe("createMeanDemand", () => {
    it("starts near the present split, whichever side of a swing comes first", () => {
        const mean = createMeanDemand();
        for (let second = 0; second < 20; second++) {
            mean.record({ prefillEngines: 3, decodeEngines: 1 }, evenSplit);
        }
        const { prefillEngines, decodeEngines } = mean.value();
        assert.ok(prefillEngines < 2.2 && decodeEngines > 1.8);
    });

    it("converges to a mix that lasts", () => {
        const mean = createMeanDemand();
        for (let second = 0; second < 3_600; second++) {
            mean.record({ prefillEngines: 3, decodeEngines: 1 }, evenSplit);
        }
        assert.ok(Math.abs(mean.value().prefillEngines - 3) < 0.05);
    });
});

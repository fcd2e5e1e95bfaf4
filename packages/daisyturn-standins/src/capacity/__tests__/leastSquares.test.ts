import { createSeededRandom } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { fitPlane, predict } from "../leastSquares.js";

describe("fitPlane", () => {
    it("finds the plane that the points lie on", () => {
        const points = [[3, 4], [9, 4], [3, 40], [9, 40], [15, 16]].map(inputs => ({
            inputs,
            output: 2 + 0.5 * (inputs[0] ?? 0) + 0.125 * (inputs[1] ?? 0),
        }));
        const fit = fitPlane(points);
        assert.ok(Math.abs(predict(fit, [100, 65]) - (2 + 50 + 8.125)) < 1e-9);
        assert.ok(fit.error < 1e-9);
    });

    it("reports an error of the size of the noise", () => {
        const random = createSeededRandom(5);
        const points = Array.from({ length: 200 }, (unused, index) => ({
            inputs: [index],
            output: 3 * index + (random.fraction() < 0.5 ? 1 : -1),
        }));
        const fit = fitPlane(points);
        assert.ok(Math.abs(fit.error - 1) < 0.05);
        assert.ok(Math.abs((fit.slopes[0] ?? 0) - 3) < 0.01);
    });

    it("throws if the points do not determine a plane", () => {
        assert.throws(() => fitPlane([{ inputs: [1, 2], output: 1 }, { inputs: [2, 4], output: 2 }]));
    });
});

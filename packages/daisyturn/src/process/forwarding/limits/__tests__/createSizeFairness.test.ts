import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createSizeFairness, type SizeFairness } from "../createSizeFairness.js";

/** Records ended prompts of these lengths; prompts whose length is in the second list are not served. */
function recordPrompts(
    fairness: SizeFairness,
    lengths: readonly number[],
    unserved: readonly number[],
    route = "route",
) {
    for (const tokens of lengths) {
        fairness.begin(route, tokens).end(!unserved.includes(tokens));
    }
}

const tenLengths = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10].map(step => step * 1_000);
const forty = [...tenLengths, ...tenLengths, ...tenLengths, ...tenLengths];

describe("fairness by size", () => {
    it("reports the longest prompts as underserved if only they are refused", () => {
        const fairness = createSizeFairness();
        recordPrompts(fairness, forty, [10_000]);
        assert.equal(fairness.begin("route", 10_000).isUnderserved(), true);
        assert.equal(fairness.begin("route", 50_000).isUnderserved(), true);
        assert.equal(fairness.begin("route", 1_000).isUnderserved(), false);
        assert.equal(fairness.begin("route", 6_000).isUnderserved(), false);
    });

    // Guards against the longest prompts being served hardly more than half as often as all, which at times violates
    // the guaranteed half.
    it("reports the longest prompts as underserved if they are served two thirds as often as all", () => {
        const fairness = createSizeFairness();
        recordPrompts(fairness, forty, []);
        recordPrompts(fairness, [10_000, 10_000], [10_000]);
        assert.equal(fairness.begin("route", 10_000).isUnderserved(), true);
    });

    it("does not report prompts of medium length as underserved if only the longest are refused", () => {
        const fairness = createSizeFairness();
        recordPrompts(fairness, forty, [9_000, 10_000]);
        assert.equal(fairness.begin("route", 10_000).isUnderserved(), true);
        assert.equal(fairness.begin("route", 6_000).isUnderserved(), false);
    });

    it("reports no prompt as underserved if all lengths are refused equally or none is refused", () => {
        for (const unserved of [[], tenLengths]) {
            tenLengths.forEach(tokens => {
                const fairness = createSizeFairness();
                recordPrompts(fairness, forty, unserved);
                assert.equal(fairness.begin("route", tokens).isUnderserved(), false);
            });
        }
    });

    it("does not decide by a single prompt that is longer than all others", () => {
        const fairness = createSizeFairness();
        recordPrompts(fairness, forty, []);
        recordPrompts(fairness, [60_000], [60_000]);
        assert.equal(fairness.begin("route", 60_000).isUnderserved(), false);
    });

    it("forgets older prompts and reports nothing once the longest prompts are served again", () => {
        const fairness = createSizeFairness();
        recordPrompts(fairness, forty, [10_000]);
        recordPrompts(fairness, forty, []);
        recordPrompts(fairness, forty, []);
        assert.equal(fairness.begin("route", 10_000).isUnderserved(), false);
    });

    // Guards against starvation that is not detected while the longest prompts are still waiting.
    it("does not count prompts in progress as served", () => {
        const fairness = createSizeFairness();
        recordPrompts(fairness, forty, [10_000]);
        for (let count = 0; count < 20; count++) {
            fairness.begin("route", 10_000);
        }
        assert.equal(fairness.begin("route", 10_000).isUnderserved(), true);
    });

    it("counts each route separately and reports no prompt of a route with few prompts as underserved", () => {
        const fairness = createSizeFairness();
        recordPrompts(fairness, forty, [10_000], "other");
        assert.equal(fairness.begin("route", 10_000).isUnderserved(), false);
        recordPrompts(fairness, [1_000, 1_000, 10_000], [10_000]);
        assert.equal(fairness.begin("route", 10_000).isUnderserved(), false);
    });
});

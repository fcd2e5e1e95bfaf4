import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createSizeFairness, type SizeFairness } from "../createSizeFairness.js";

/** Takes prompts of these lengths in, of which those of a length in the second list are not served. */
function account(fairness: SizeFairness, lengths: readonly number[], unserved: readonly number[], route = "route") {
    for (const tokens of lengths) {
        fairness.begin(route, tokens).end(!unserved.includes(tokens));
    }
}

const tenLengths = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10].map(step => step * 1_000);
const forty = [...tenLengths, ...tenLengths, ...tenLengths, ...tenLengths];

describe("fairness by size", () => {
    it("owes the longest prompts service where they alone are refused", () => {
        const fairness = createSizeFairness();
        account(fairness, forty, [10_000]);
        assert.equal(fairness.begin("route", 10_000).isUnderserved(), true);
        assert.equal(fairness.begin("route", 50_000).isUnderserved(), true);
        assert.equal(fairness.begin("route", 1_000).isUnderserved(), false);
        assert.equal(fairness.begin("route", 6_000).isUnderserved(), false);
    });

    // Guards against the longest being served hardly more than half as often as all, which misses the promise now and then.
    it("owes the longest prompts service where they are served two thirds as often as all", () => {
        const fairness = createSizeFairness();
        account(fairness, forty, []);
        account(fairness, [10_000, 10_000], [10_000]);
        assert.equal(fairness.begin("route", 10_000).isUnderserved(), true);
    });

    it("owes prompts of middle length nothing where the longest alone are refused", () => {
        const fairness = createSizeFairness();
        account(fairness, forty, [9_000, 10_000]);
        assert.equal(fairness.begin("route", 10_000).isUnderserved(), true);
        assert.equal(fairness.begin("route", 6_000).isUnderserved(), false);
    });

    it("owes nobody anything where all lengths are refused alike, or none", () => {
        for (const unserved of [[], tenLengths]) {
            tenLengths.forEach(tokens => {
                const fairness = createSizeFairness();
                account(fairness, forty, unserved);
                assert.equal(fairness.begin("route", tokens).isUnderserved(), false);
            });
        }
    });

    it("does not go by a single one, the longest of all, which no other is like", () => {
        const fairness = createSizeFairness();
        account(fairness, forty, []);
        account(fairness, [60_000], [60_000]);
        assert.equal(fairness.begin("route", 60_000).isUnderserved(), false);
    });

    it("is even once the longest are served again, and forgets what lies far back", () => {
        const fairness = createSizeFairness();
        account(fairness, forty, [10_000]);
        account(fairness, forty, []);
        account(fairness, forty, []);
        assert.equal(fairness.begin("route", 10_000).isUnderserved(), false);
    });

    // Guards against starvation that goes unseen for as long as the longest prompts wait in vain.
    it("does not take prompts under way for served ones", () => {
        const fairness = createSizeFairness();
        account(fairness, forty, [10_000]);
        for (let count = 0; count < 20; count++) {
            fairness.begin("route", 10_000);
        }
        assert.equal(fairness.begin("route", 10_000).isUnderserved(), true);
    });

    it("keeps the account of each route by itself, and says nothing of a route that is hardly known", () => {
        const fairness = createSizeFairness();
        account(fairness, forty, [10_000], "other");
        assert.equal(fairness.begin("route", 10_000).isUnderserved(), false);
        account(fairness, [1_000, 1_000, 10_000], [10_000]);
        assert.equal(fairness.begin("route", 10_000).isUnderserved(), false);
    });
});

import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { computeFairShares, type ShareClaim } from "../fairShares.js";

/** Progressive filling in small steps: each share grows by its weight until its demand or the capacity is reached. */
function fillInSteps(capacity: number, claims: readonly ShareClaim[], step: number): number[] {
    const shares = claims.map(() => 0);
    let left = capacity;
    for (;;) {
        const open = [...claims.keys()].filter(index => shares[index]! < claims[index]!.demand);
        const weight = open.reduce((sum, index) => sum + claims[index]!.weight, 0);
        if (open.length === 0 || left < step * weight) {
            return shares;
        }
        for (const index of open) {
            const grown = Math.min(claims[index]!.demand, shares[index]! + step * claims[index]!.weight);
            left -= grown - shares[index]!;
            shares[index] = grown;
        }
    }
}

const claims = fc.array(
    fc.record({
        weight: fc.integer({ min: 1, max: 5 }),
        demand: fc.oneof(fc.integer({ min: 0, max: 300 }), fc.constant(Infinity)),
    }),
    { minLength: 1, maxLength: 6 },
);

test("shares agree with progressive filling in small steps", () => {
    const step = 0.01;
    fc.assert(
        fc.property(fc.integer({ min: 0, max: 500 }), claims, (capacity, all) => {
            const exact = computeFairShares(capacity, all);
            const stepwise = fillInSteps(capacity, all, step);
            const weights = all.reduce((sum, claim) => sum + claim.weight, 0);
            exact.forEach((share, index) => {
                // The capacity that is left after the last step can belong to a single claim.
                assert.ok(Math.abs(share - stepwise[index]!) <= step * weights + 1e-6, `${exact} and ${stepwise}`);
            });
        }),
        { seed: 1, numRuns: 300 },
    );
});

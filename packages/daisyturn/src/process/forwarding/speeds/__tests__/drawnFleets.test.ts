import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type DrawnFleet, playFleet, Policy } from "../__fixtures__/drawnFleet.js";

const equal = [1, 1, 1, 1, 1];
const seeds = [1, 2];

/** One target in seven works 2.5 times as slowly, each time for 600 ms. */
function drawNoise(target: number, time: number): number {
    const hash = Math.sin((target * 1_000 + Math.floor(time / 600)) * 12.9898) * 43_758.5453;
    return hash - Math.floor(hash) < 0.15 ? 2.5 : 1;
}

const shared = { hasFigures: true, deciders: 10, load: 0.85, seconds: 16 };
const fleets: Readonly<Record<string, DrawnFleet>> = {
    "equal targets": { ...shared, factors: equal },
    "targets of three speeds": { ...shared, factors: [0.6, 0.6, 1, 1.6, 1.6] },
    "one target at a fifth": { ...shared, factors: [1, 1, 1, 1, 5] },
    "targets that are slow for short times": { ...shared, factors: equal, changes: drawNoise, load: 0.85 / 1.225 },
    "two targets that become slow halfway": {
        ...shared,
        factors: equal,
        changes: (target, time) => target < 2 && time > 8_000 ? 2 : 1,
        load: 0.85 / 1.25,
    },
    "targets of three speeds without figures": { ...shared, factors: [0.6, 0.6, 1, 1.6, 1.6], hasFigures: false },
};

function playAll(fleet: DrawnFleet, policy: Policy) {
    const results = seeds.map(seed => playFleet(fleet, policy, seed));
    const mean = (value: (result: typeof results[number]) => number) =>
        results.reduce((sum, result) => sum + value(result), 0) / results.length;
    return { onTime: mean(({ onTime }) => onTime), p99: mean(({ p99 }) => p99) };
}

describe("the choice by expected end", () => {
    Object.entries(fleets).forEach(([name, fleet]) => {
        it(`stays close to a single queue and is no worse than others: ${name}`, () => {
            const speeds = playAll(fleet, Policy.Speeds);
            const single = playAll(fleet, Policy.SingleQueue);
            assert.ok(speeds.onTime >= single.onTime - 0.015, `${speeds.onTime} on time, ${single.onTime}`);
            assert.ok(speeds.p99 <= single.p99 * 1.6, `p99 ${speeds.p99} ms, ${single.p99} ms`);
            for (const other of [Policy.LeastCalls, Policy.TwoChoices].map(policy => playAll(fleet, policy))) {
                assert.ok(speeds.onTime >= other.onTime - 0.001, `${speeds.onTime} on time, ${other.onTime}`);
                assert.ok(speeds.p99 <= other.p99 * 1.15, `p99 ${speeds.p99} ms, ${other.p99} ms`);
            }
        });
    });

    it("leaves the choice unchanged between equal targets without figures", () => {
        const fleet = { ...shared, factors: equal, hasFigures: false, deciders: 20, load: 0.5 };
        const [speeds, least] = [Policy.Speeds, Policy.LeastCalls].map(policy => playFleet(fleet, policy, 3));
        assert.deepEqual(speeds, least);
    });

    [0.27, 0.5, 0.85].forEach(load => {
        it(`sends no herd of 80 processes to the target that was just reported as fast, at a load of ${load}`, () => {
            const isFast = (target: number, time: number) => Math.floor(time / 1_000) % 5 === target;
            const changes = (target: number, time: number) => isFast(target, time) ? 0.5 : 1;
            const fleet = { ...shared, factors: equal, changes, deciders: 80, load, shareMilliseconds: 200 };
            const { calls } = playFleet(fleet, Policy.Speeds, 1);
            // Nothing is measured in the first second.
            calls.slice(1).forEach((atTargets, second) => {
                const mean = atTargets.reduce((sum, count) => sum + count, 0) / atTargets.length;
                const worst = Math.max(...atTargets);
                assert.ok(worst <= 2 * mean + 2, `${worst} calls in second ${second + 1}, ${mean} in the mean`);
            });
        });
    });
});

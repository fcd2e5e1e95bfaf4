import { createSeededRandom } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createEngineRates } from "../engineRates.js";

function assertNear(actual: number, expected: number, tolerance: number): void {
    assert.ok(Math.abs(actual - expected) <= tolerance * expected, `${actual} is not near ${expected}`);
}

test("learns the rate of an engine that prefills at a third of its reported rate", () => {
    const rates = createEngineRates();
    rates.setPrior(9_000, 50);
    const random = createSeededRandom(1);
    for (let sample = 0; sample < 60; sample++) {
        const tokens = 500 + random.integerBelow(3_000);
        const actual = tokens / 3 * (0.8 + 0.4 * random.fraction());
        rates.observeFirstToken(4, tokens / rates.prefillPerMillisecond(4), actual, 1);
    }
    assertNear(rates.prefillPerMillisecond(4), 3, 0.15);
});

test("ignores a late first token that waited mostly for other requests", () => {
    const rates = createEngineRates();
    const before = rates.prefillPerMillisecond(1);
    rates.observeFirstToken(1, 100, 400, 0.3);
    assert.equal(rates.prefillPerMillisecond(1), before);
    rates.observeFirstToken(1, 100, 400, 0.9);
    assert.ok(rates.prefillPerMillisecond(1) < before);
});

test("learns the prefill rate at each batch size, and returns to the prior without new observations", () => {
    const rates = createEngineRates();
    rates.setPrior(10_000, 50);
    for (let sample = 0; sample < 60; sample++) {
        const streams = sample % 40;
        rates.observePrefill(streams, 1 / (0.12 + 0.004 * streams));
    }
    assertNear(rates.prefillPerMillisecond(30), 1 / 0.24, 0.12);
    for (let report = 0; report < 300; report++) {
        rates.decay();
    }
    assertNear(rates.prefillPerMillisecond(1), 10, 0.1);
});

test("learns the time between tokens for all batch sizes", () => {
    const rates = createEngineRates();
    rates.setPrior(9_000, 100);
    const random = createSeededRandom(2);
    for (let sample = 0; sample < 300; sample++) {
        const streams = 1 + random.integerBelow(60);
        rates.observeBetweenTokens(streams, (14 + 0.4 * streams) * (0.9 + 0.2 * random.fraction()));
    }
    assertNear(rates.betweenTokens(10), 18, 0.08);
    assertNear(rates.betweenTokens(50), 34, 0.08);
});

test("adapts to an engine that changes its speed", () => {
    const rates = createEngineRates();
    for (let sample = 0; sample < 100; sample++) {
        rates.observeBetweenTokens(1 + sample % 30, 20);
    }
    for (let sample = 0; sample < 200; sample++) {
        rates.observeBetweenTokens(1 + sample % 30, 60);
    }
    assertNear(rates.betweenTokens(15), 60, 0.1);
});

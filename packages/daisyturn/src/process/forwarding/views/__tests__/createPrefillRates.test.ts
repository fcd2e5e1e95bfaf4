import { createSeededRandom } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { estimatePrefill } from "../../placement/estimatePrefill.js";
import { createPrefillRates, type PrefillRate } from "../createPrefillRates.js";

const service = "engines";
const usualTokens = 10_000;
const longestTokens = 50_000;

function createObservations(engine: PrefillRate, delay: () => number, prompts = 60) {
    const random = createSeededRandom(5);
    const rates = createPrefillRates();
    for (let count = 0; count < prompts; count++) {
        const tokens = 4_000 + Math.round(random.fraction() ** 2 * 36_000);
        const milliseconds = estimatePrefill(engine, tokens, 0, false) + delay();
        rates.observe([service, tokens, 0, milliseconds]);
    }
    return rates;
}

function compareEstimates(learned: PrefillRate, engine: PrefillRate, tokens: number): number {
    return estimatePrefill(learned, tokens, 0, false) / estimatePrefill(engine, tokens, 0, false);
}

// Guards against long prompts that are admitted by the rates of another model and whose callers then leave.
test("the time of the longest prompts is learned for engines with slower attention", () => {
    const engine = { tokenMilliseconds: 0.023, pairMilliseconds: 0.97 };
    const before = compareEstimates(createPrefillRates().rate(service), engine, longestTokens);
    const after = compareEstimates(createObservations(engine, () => 0).rate(service), engine, longestTokens);
    assert.ok(before < 0.5, `before: ${before}`);
    assert.ok(Math.abs(after - 1) < 0.1, `after: ${after}`);
});

test("waits that this process does not know of hardly change the rates", () => {
    const engine = { tokenMilliseconds: 0.0156, pairMilliseconds: 0.65 };
    const random = createSeededRandom(6);
    const delay = () => random.fraction() < 0.6 ? 0 : random.fraction() * 1_500;
    const ratio = compareEstimates(createObservations(engine, delay).rate(service), engine, longestTokens);
    assert.ok(ratio > 0.85 && ratio < 1.25, `${ratio}`);
});

// Guards against prompts that are refused although an idle engine would read them in time.
test("with most prompts delayed, the time of a prompt is not overestimated by a quarter", () => {
    const engine = { tokenMilliseconds: 0.0234, pairMilliseconds: 0.97 };
    const ratios = [1, 2, 3, 4, 5, 6, 7, 8].map(seed => {
        const random = createSeededRandom(seed);
        const delay = () => random.fraction() < 0.4 ? 0 : random.fraction() * 1_200;
        return compareEstimates(createObservations(engine, delay, 150).rate(service), engine, usualTokens);
    });
    const mean = ratios.reduce((sum, ratio) => sum + ratio, 0) / ratios.length;
    assert.ok(mean > 0.9 && mean < 1.25, `${mean}`);
});

test("faster engines are learned too, and prompts of one step or of impossible length teach nothing", () => {
    const engine = { tokenMilliseconds: 0.008, pairMilliseconds: 0.1 };
    const rates = createObservations(engine, () => 0);
    assert.ok(compareEstimates(rates.rate(service), engine, longestTokens) < 1.2);
    const untaught = createPrefillRates();
    untaught.observe([service, 400, 0, 900]);
    untaught.recordRemote([service, 2_000, 1e9, 1]);
    assert.deepEqual(untaught.rate(service), createPrefillRates().rate(service));
});

test("rates are those of a service, and reach peers once", () => {
    const rates = createPrefillRates();
    rates.observe([service, 20_000, 0, 700]);
    const peer = createPrefillRates();
    rates.drainUnsent().forEach(peer.recordRemote);
    assert.deepEqual(peer.rate(service), rates.rate(service));
    assert.deepEqual(peer.rate("others"), createPrefillRates().rate(service));
    assert.deepEqual([rates.drainUnsent(), peer.drainUnsent()], [[], []]);
});

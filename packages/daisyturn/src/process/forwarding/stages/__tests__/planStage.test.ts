import assert from "node:assert/strict";
import { test } from "node:test";
import { EngineStage } from "../../../../ports/listedTarget.js";
import { planStage } from "../planStage.js";

/** Part of the decoding places that is taken now, and the most of it of late. */
const fills = [[0, 0], [0, 0.3], [0.2, 0.3], [0.2, 0.7], [0.4, 0.85], [0.5, 0.7], [0.9, 0.9]] as const;
const calm = { readers: 3, decoders: 5, demand: 2, decodingFill: 0.2, peakFill: 0.7 };

test("a mix that the engines bear changes nothing", () => {
    assert.equal(planStage(calm), undefined);
});

test("a lasting overload of reading takes an engine that decodes little", () => {
    assert.equal(planStage({ ...calm, demand: 4 }), EngineStage.Prefill);
    assert.equal(planStage({ ...calm, demand: 4, decodingFill: 0.45 }), EngineStage.Prefill);
    assert.equal(planStage({ ...calm, demand: 4, decodingFill: 0.5 }), undefined);
});

test("the last decoding engines are not taken, whatever the demand", () => {
    assert.equal(planStage({ readers: 5, decoders: 3, demand: 20, decodingFill: 0, peakFill: 0 }), undefined);
    assert.equal(planStage({ readers: 1, decoders: 1, demand: 20, decodingFill: 0, peakFill: 0 }), undefined);
});

test("a stage without engines is filled", () => {
    assert.equal(planStage({ readers: 3, decoders: 0, demand: 1, decodingFill: 0, peakFill: 0 }), EngineStage.Decode);
    assert.equal(
        planStage({ readers: 0, decoders: 4, demand: 0, decodingFill: 0.9, peakFill: 0.9 }),
        EngineStage.Prefill,
    );
});

test("a plan is never undone by the next one", () => {
    for (let readers = 0; readers <= 8; readers++) {
        for (let demand = 0; demand <= 10; demand += 0.25) {
            for (const [decodingFill, peakFill] of fills) {
                const decoders = 8 - readers;
                const change = planStage({ readers, decoders, demand, decodingFill, peakFill });
                if (change === undefined) {
                    continue;
                }
                const step = change === EngineStage.Prefill ? 1 : -1;
                const after = { readers: readers + step, decoders: decoders - step, demand, decodingFill, peakFill };
                const next = planStage(after);
                assert.ok(next === undefined || next === change, JSON.stringify({ readers, demand, peakFill }));
            }
        }
    }
});

test("engines that decode little, even in bursts, read while others read", () => {
    const idle = { readers: 12, decoders: 27, demand: 4, decodingFill: 0.05, peakFill: 0.15 };
    assert.equal(planStage(idle), EngineStage.Prefill);
    assert.equal(planStage({ ...idle, peakFill: 0.6 }), undefined, "bursts need them");
    assert.equal(planStage({ ...idle, demand: 3 }), undefined, "nobody waits for reading");
    assert.equal(planStage({ ...idle, readers: 27, decoders: 12, demand: 20 }), undefined, "some decode in any case");
});

test("engines go back to decoding only where decoding needs them", () => {
    const quiet = { readers: 5, decoders: 3, demand: 0.5, decodingFill: 0.1, peakFill: 0.1 };
    assert.equal(planStage(quiet), undefined);
    assert.equal(planStage({ ...quiet, peakFill: 0.9 }), EngineStage.Decode);
});

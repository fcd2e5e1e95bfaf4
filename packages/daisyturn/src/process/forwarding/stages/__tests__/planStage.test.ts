import assert from "node:assert/strict";
import { test } from "node:test";
import { EngineStage } from "../../../../ports/listedTarget.js";
import { planStage } from "../planStage.js";

/** Pairs of the current and the recent peak fill of the decode engines. */
const fills = [[0, 0], [0, 0.3], [0.2, 0.3], [0.2, 0.7], [0.4, 0.85], [0.5, 0.7], [0.9, 0.9]] as const;
const balanced = { readers: 3, decoders: 5, demand: 2, decodingFill: 0.2, peakFill: 0.7 };

test("no change is planned for a load that the engines can serve", () => {
    assert.equal(planStage(balanced), undefined);
});

test("an overload of prefill engines moves a lightly loaded decode engine to prefill", () => {
    assert.equal(planStage({ ...balanced, demand: 4 }), EngineStage.Prefill);
    assert.equal(planStage({ ...balanced, demand: 4, decodingFill: 0.45 }), EngineStage.Prefill);
    assert.equal(planStage({ ...balanced, demand: 4, decodingFill: 0.5 }), undefined);
});

test("the minimum of decode engines remains whatever the prefill demand", () => {
    assert.equal(planStage({ readers: 5, decoders: 3, demand: 20, decodingFill: 0, peakFill: 0 }), undefined);
    assert.equal(planStage({ readers: 1, decoders: 1, demand: 20, decodingFill: 0, peakFill: 0 }), undefined);
});

test("a stage without engines receives one", () => {
    assert.equal(planStage({ readers: 3, decoders: 0, demand: 1, decodingFill: 0, peakFill: 0 }), EngineStage.Decode);
    assert.equal(
        planStage({ readers: 0, decoders: 4, demand: 0, decodingFill: 0.9, peakFill: 0.9 }),
        EngineStage.Prefill,
    );
});

test("a single engine decodes", () => {
    const one = { demand: 20, decodingFill: 0.9, peakFill: 0.9 };
    assert.equal(planStage({ readers: 1, decoders: 0, ...one }), EngineStage.Decode);
    assert.equal(planStage({ readers: 0, decoders: 1, ...one }), undefined);
});

test("a plan is never reversed by the next plan", () => {
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

test("decode engines with little load even in bursts move to prefill while there is prefill demand", () => {
    const idle = { readers: 12, decoders: 27, demand: 4, decodingFill: 0.05, peakFill: 0.15 };
    assert.equal(planStage(idle), EngineStage.Prefill);
    assert.equal(planStage({ ...idle, peakFill: 0.6 }), undefined, "bursts need the decode engines");
    assert.equal(planStage({ ...idle, demand: 3 }), undefined, "the prefill demand is too low");
    assert.equal(
        planStage({ ...idle, readers: 27, decoders: 12, demand: 20 }),
        undefined,
        "a minimum of decode engines remains",
    );
});

test("engines return to decoding only if the decode engines were recently full", () => {
    const quiet = { readers: 5, decoders: 3, demand: 0.5, decodingFill: 0.1, peakFill: 0.1 };
    assert.equal(planStage(quiet), undefined);
    assert.equal(planStage({ ...quiet, peakFill: 0.9 }), EngineStage.Decode);
});

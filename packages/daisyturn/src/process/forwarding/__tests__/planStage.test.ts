import assert from "node:assert/strict";
import { test } from "node:test";
import { EngineStage } from "../../../ports/listedTarget.js";
import { planStage } from "../planStage.js";

const calm = { readers: 3, decoders: 5, demand: 2, decodingFill: 0.2 };

test("a mix that the engines bear changes nothing", () => {
    assert.equal(planStage(calm), undefined);
});

test("a lasting overload of reading takes an engine that decodes little", () => {
    assert.equal(planStage({ ...calm, demand: 4 }), EngineStage.Prefill);
    assert.equal(planStage({ ...calm, demand: 4, decodingFill: 0.5 }), undefined);
});

test("the last decoding engines are not taken, whatever the demand", () => {
    assert.equal(planStage({ readers: 5, decoders: 3, demand: 20, decodingFill: 0 }), undefined);
    assert.equal(planStage({ readers: 1, decoders: 1, demand: 20, decodingFill: 0 }), undefined);
});

test("a stage without engines is filled", () => {
    assert.equal(planStage({ readers: 3, decoders: 0, demand: 1, decodingFill: 0 }), EngineStage.Decode);
    assert.equal(planStage({ readers: 0, decoders: 4, demand: 0, decodingFill: 0.9 }), EngineStage.Prefill);
});

test("a plan is never undone by the next one", () => {
    for (let readers = 0; readers <= 8; readers++) {
        for (let demand = 0; demand <= 10; demand += 0.25) {
            for (const decodingFill of [0, 0.2, 0.5, 0.9]) {
                const decoders = 8 - readers;
                const change = planStage({ readers, decoders, demand, decodingFill });
                if (change === undefined) {
                    continue;
                }
                const step = change === EngineStage.Prefill ? 1 : -1;
                const after = { readers: readers + step, decoders: decoders - step, demand, decodingFill };
                const next = planStage(after);
                assert.ok(next === undefined || next === change, JSON.stringify({ readers, demand, decodingFill }));
            }
        }
    }
});

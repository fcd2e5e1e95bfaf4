import { FakeClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { EngineStage, type ListedTarget } from "../../../../ports/listedTarget.js";
import { createStageReturns } from "../createStageReturns.js";

function createEngine(stage: EngineStage): ListedTarget {
    return {
        targetId: `e-${stage}`,
        name: stage,
        service: "engines",
        address: "10.0.0.1:80",
        availabilityZone: "z",
        slots: 8,
        isLeaving: false,
        softwareVersion: "v1",
        stage,
    };
}

// Guards against callers that come back while an engine still changes its stage, and are refused again.
test("the time until an engine decodes counts from the first refusal of an outage", async () => {
    const clock = new FakeClock();
    let engines = [createEngine(EngineStage.Prefill)];
    const returns = createStageReturns({ open: () => engines }, clock);
    assert.equal(returns.estimate("engines"), 4_000);
    await clock.advance(1_500);
    assert.equal(returns.estimate("engines"), 2_500);
    await clock.advance(2_900);
    assert.equal(returns.estimate("engines"), 1_000, "an overdue change");
    await clock.advance(3_100);
    assert.equal(returns.estimate("engines"), 4_000, "a new outage");
    engines = [...engines, createEngine(EngineStage.Decode)];
    assert.equal(returns.estimate("engines"), undefined);
    engines = [];
    assert.equal(returns.estimate("engines"), undefined, "nothing tells when an engine starts");
});

import assert from "node:assert/strict";
import { test } from "node:test";
import { EngineStage } from "../../../../ports/listedTarget.js";
import {
    createDemand,
    createLongPrompt,
    createPlacementBench,
    createShortPrompt,
} from "../../__fixtures__/placementBench.js";
import { createLeastRunningPlacement } from "../createLeastRunningPlacement.js";

const { Prefill, Decode } = EngineStage;

function createBench() {
    const bench = createPlacementBench([Prefill, Prefill, Decode, Decode, Decode]);
    const placement = createLeastRunningPlacement(bench);
    const occupy = (targetId: string, calls: number) => {
        for (let call = 0; call < calls; call++) {
            bench.loads.begin(targetId, { work: 0, isDeferred: false, tokens: 0 });
        }
    };
    return { ...bench, placement, occupy };
}

test("chooses the engine with the fewest running calls, and prefills only long prompts at another engine", () => {
    const { placement, occupy } = createBench();
    occupy("i-2", 3);
    occupy("i-3", 1);
    const short = placement.placePrompt(createDemand(createShortPrompt("own")));
    assert.deepEqual([short?.prefill, short?.decode.target.targetId], [undefined, "i-4"]);
    const long = placement.placePrompt(createDemand(createLongPrompt("guide", "own")));
    assert.equal(long?.prefill?.target.stage, Prefill);
    const whole = placement.placePrompt(createDemand(createLongPrompt("guide", "own"), { isWholeOnly: true }));
    assert.equal(whole?.prefill, undefined);
});

test("prefills at the preferred engine of a prefix until it is far busier than the other engines", () => {
    const { placement, occupy } = createBench();
    const demand = createDemand(createLongPrompt("guide", "own"));
    const preferred = placement.placePrompt(demand)?.prefill?.target.targetId ?? "";
    occupy(preferred, 8);
    assert.equal(placement.placePrompt(demand)?.prefill?.target.targetId, preferred);
    occupy(preferred, 1);
    assert.notEqual(placement.placePrompt(demand)?.prefill?.target.targetId, preferred);
});

test("places nothing at targets that failed the call or are closed", () => {
    const { placement, closed, clock } = createBench();
    closed.close("i-4", clock.monotonicNow() + 1_000);
    assert.equal(placement.placePlain("engines", { avoid: new Set(["i-0", "i-1", "i-2"]) })?.targetId, "i-3");
    assert.equal(placement.placePlain("engines", { avoid: new Set(["i-0", "i-1", "i-2", "i-3"]) }), undefined);
});

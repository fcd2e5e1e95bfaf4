import assert from "node:assert/strict";
import { test } from "node:test";
import { EngineStage } from "../../../../ports/listedTarget.js";
import {
    createDemand,
    createLongPrompt,
    createPlacementBench,
    engineService,
} from "../../__fixtures__/placementBench.js";

/** Replaces the method of an object by one that counts its calls. */
function countCalls<Name extends string>(owner: Record<Name, (...parameters: never[]) => unknown>, name: Name) {
    const original = owner[name];
    let calls = 0;
    owner[name] = (...parameters) => {
        calls += 1;
        return original(...parameters);
    };
    return () => calls;
}

// Guards against work of a coordinator that grows faster than the number of engines. It places the prompts of its group.
for (const count of [8, 98, 200]) {
    test(`a placement examines each of ${count} engines a fixed number of times`, () => {
        const stages = Array.from(
            { length: count },
            (value, index) => index % 3 === 0 ? EngineStage.Prefill : EngineStage.Decode,
        );
        const bench = createPlacementBench(stages);
        const prompt = createLongPrompt("guide", "own");
        const kvTokens = engineService.engine?.kvTokens ?? 0;
        bench.listed.slice(0, count / 2).forEach(({ targetId }) =>
            bench.caches.record(targetId, prompt.parts, kvTokens)
        );
        const checks = countCalls(bench.availability, "check");
        const kept = countCalls(bench.caches, "keptTokens");
        const waits = countCalls(bench.loads, "wait");
        const tokens = countCalls(bench.loads, "tokens");
        const placed = bench.placement.placePrompt(createDemand(prompt, { aim: 60_000 }));
        assert.ok(placed?.prefill && !placed.isDeferred);
        assert.equal(checks(), count);
        assert.equal(kept(), count);
        assert.ok(waits() <= 4 * count, `${waits()} waits`);
        assert.ok(tokens() <= 2 * count, `${tokens()} amounts of tokens`);
    });
}

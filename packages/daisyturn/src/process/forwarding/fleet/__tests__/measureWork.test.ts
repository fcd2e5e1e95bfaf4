import { FakeClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { EngineStage, type ListedTarget } from "../../../../ports/listedTarget.js";
import { createCacheEstimates } from "../../views/createCacheEstimates.js";
import { measureWork } from "../measureWork.js";

function createEngine(targetId: string, stage: EngineStage, isLeaving = false): ListedTarget {
    return {
        targetId,
        name: targetId,
        service: "s",
        address: "10.0.0.1:80",
        availabilityZone: "a",
        slots: 16,
        isLeaving,
        softwareVersion: "",
        stage,
    };
}

const engines = [
    createEngine("p0", EngineStage.Prefill),
    createEngine("p1", EngineStage.Prefill),
    createEngine("d0", EngineStage.Decode),
    createEngine("d1", EngineStage.Decode, true),
];

test("decode work is that of slots or of KV cache, whichever is more, also at engines that leave", () => {
    const caches = createCacheEstimates(new FakeClock());
    const measure = (tokens: number) =>
        measureWork("s", engines, 1_000, {
            leastDemand: { engines: () => 3 },
            firstReads: { engines: () => 0 },
            loads: { calls: () => 8, tokens: () => tokens },
            caches,
        });
    const { prefill, decode } = measure(100);
    assert.deepEqual([prefill, decode], [3, 1]);
    assert.equal(measure(900).decode, 1.8);
});

// Guards against giving back engines whose cached prefixes the others would have to prefill again.
test("prefill engines are kept for the different shared parts in use, while these are in use", async () => {
    const clock = new FakeClock();
    const caches = createCacheEstimates(clock);
    const measure = () =>
        measureWork("s", engines, 1_000, {
            leastDemand: { engines: () => 1 },
            firstReads: { engines: () => 0 },
            loads: { calls: () => 0, tokens: () => 0 },
            caches,
        }).countCacheEngines();
    const own = { partId: "own", tokens: 700 };
    caches.record("p0", [{ partId: "x", tokens: 400 }, own], 10_000);
    caches.record("p1", [{ partId: "x", tokens: 400 }, own], 10_000);
    assert.equal(measure(), 1, "the same part at two engines counts once, and the request's own not at all");
    caches.recordRemote("p1", "y", 600);
    assert.equal(measure(), 2);
    caches.recordRemote("p1", "z", 5_000);
    assert.equal(measure(), 2, "no engines are ordered for caches");
    await clock.advance(16_000);
    assert.equal(measure(), 0);
});

import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ProbeResult } from "../../../../connection/target/probeAddress.js";
import { EngineStage } from "../../../../ports/listedTarget.js";
import {
    createDemand,
    createLongPrompt,
    createPlacementBench,
    createShortPrompt,
    engineService,
} from "../../__fixtures__/placementBench.js";
import { ConnectionBreak } from "../../targets/createTargetContinuity.js";
import { createLeastRunningPlacement } from "../createLeastRunningPlacement.js";

const { Prefill, Decode } = EngineStage;

/** Creates a bench whose engines have the given stages and software versions. */
function createVersionedBench(engines: readonly (readonly [EngineStage, string])[]) {
    const bench = createPlacementBench(engines.map(([stage]) => stage));
    const listed = bench.listed.map((target, index) => ({ ...target, softwareVersion: engines[index]?.[1] ?? "" }));
    bench.targets.replace(listed.map(target => ({ key: target.targetId, version: 2, text: JSON.stringify(target) })));
    return bench;
}

const mixedEngines: readonly (readonly [EngineStage, string])[] = [
    [Prefill, "v1"],
    [Prefill, "v2"],
    [Decode, "v1"],
    [Decode, "v2"],
    [Decode, "v2"],
];

describe("placement with several software versions", () => {
    // Guards against a KV cache that an engine of another version has computed, or from which it fetches a prefix.
    it("chooses prefill, decode and the source of a prefix within one version", () => {
        const { placement, caches, targets, loads } = createVersionedBench(mixedEngines);
        const prompt = createLongPrompt("guide", "own");
        caches.record("i-1", prompt.parts, engineService.engine?.kvTokens ?? 0);
        for (let number = 0; number < 30; number++) {
            const placed = placement.placePrompt(createDemand(createLongPrompt("guide", `own-${number}`)));
            assert.ok(placed);
            const { prefill, decode } = placed;
            const engines = [prefill?.target, decode.target, prefill?.fetchFrom, decode.fetchFrom];
            const versions = engines.flatMap(engine =>
                engine ? targets.find(engine.targetId)?.softwareVersion ?? [] : []
            );
            assert.equal(new Set(versions).size, 1, versions.join());
            loads.begin((prefill ?? decode).target.targetId, { work: 300, isDeferred: false, tokens: 17_000 });
        }
    });

    it("continues a stream at the version that began it, and nowhere if that has no engine", () => {
        const { placement, targets, loads, availability, continuity } = createVersionedBench(mixedEngines);
        const policies = [placement, createLeastRunningPlacement({ targets, loads, availability, continuity })];
        for (const policy of policies) {
            const place = (softwareVersion: string, avoid: readonly string[] = []) =>
                policy.placePrompt(createDemand(createShortPrompt("a"), { softwareVersion, avoid: new Set(avoid) }));
            assert.equal(place("v1")?.decode.target.targetId, "i-2");
            assert.equal(place("v1", ["i-2"]), undefined);
            assert.equal(place("v3"), undefined);
            assert.equal(policy.placePlain(engineService.name, { avoid: new Set(), softwareVersion: "v3" }), undefined);
        }
    });

    // Guards against a stream that goes on at an engine which has crashed and is back with another version (review/2).
    it("continues no stream at an engine that may have restarted, and begins new ones there", () => {
        const { placement, targets, loads, availability, continuity } = createVersionedBench(mixedEngines);
        const policies = [placement, createLeastRunningPlacement({ targets, loads, availability, continuity })];
        continuity.recordBroken("i-2", ConnectionBreak.Opening, () => Promise.resolve(ProbeResult.Refused));
        for (const policy of policies) {
            const place = (softwareVersion?: string) =>
                policy.placePrompt(
                    createDemand(createShortPrompt("a"), { softwareVersion, avoid: new Set(["i-3", "i-4"]) }),
                );
            assert.equal(place("v1"), undefined);
            assert.equal(place()?.decode.target.targetId, "i-2");
        }
    });

    it("prefills at an engine that decodes if no engine of its version prefills", () => {
        const { placement } = createVersionedBench([[Prefill, "v1"], [Decode, "v2"]]);
        const placed = placement.placePrompt(createDemand(createLongPrompt("guide", "own")));
        assert.deepEqual([placed?.prefill, placed?.decode.target.targetId], [undefined, "i-1"]);
    });
});

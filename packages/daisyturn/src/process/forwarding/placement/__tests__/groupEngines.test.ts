import assert from "node:assert/strict";
import { test } from "node:test";
import { EngineStage, type ListedTarget } from "../../../../ports/listedTarget.js";
import { createLongPrompt, createShortPrompt } from "../../__fixtures__/placementBench.js";
import { groupEngines } from "../groupEngines.js";

/** So many engines of each kind in each of three zones. */
function createEngines(readersPerZone: number, decodersPerZone: number): ListedTarget[] {
    const create = (stage: EngineStage, index: number): ListedTarget => ({
        targetId: `${stage}-${index}`,
        name: `${stage}-${index}`,
        service: "engines",
        address: "10.0.0.1:80",
        availabilityZone: `zone-${index % 3}`,
        slots: 24,
        isLeaving: false,
        stage,
    });
    return [
        ...[...Array(readersPerZone * 3).keys()].map(index => create(EngineStage.Prefill, index)),
        ...[...Array(decodersPerZone * 3).keys()].map(index => create(EngineStage.Decode, index)),
    ];
}

const zoneOf = (engines: readonly ListedTarget[], targetId: string | undefined) =>
    engines.find(engine => engine.targetId === targetId)?.availabilityZone;

test("with many engines in a zone, prompts have their homes there", () => {
    const engines = createEngines(4, 9);
    for (let index = 0; index < 40; index++) {
        const groups = groupEngines(engines, createLongPrompt(`guide-${index}`, "own"), "zone-1");
        assert.equal(zoneOf(engines, groups.preferredPrefillEngine), "zone-1");
        assert.equal(zoneOf(engines, groups.preferredDecodeEngine), "zone-1");
    }
});

test("with few engines in a zone, all zones share the homes of all engines", () => {
    const engines = createEngines(1, 2);
    const homes = (zone: string) =>
        [...Array(40).keys()].map(index =>
            groupEngines(engines, createLongPrompt(`guide-${index}`, "own"), zone).preferredPrefillEngine
        );
    assert.deepEqual(homes("zone-0"), homes("zone-2"));
    assert.deepEqual(new Set(homes("zone-0").map(home => zoneOf(engines, home))).size, 3);
});

test("an engine that goes moves only the homes that it was", () => {
    const engines = createEngines(4, 9);
    const homeOf = (all: readonly ListedTarget[], index: number) =>
        groupEngines(all, createLongPrompt(`guide-${index}`, "own"), "zone-0").preferredPrefillEngine;
    const gone = homeOf(engines, 0);
    const left = engines.filter(engine => engine.targetId !== gone);
    for (let index = 0; index < 40; index++) {
        const before = homeOf(engines, index);
        assert.ok(before === gone || homeOf(left, index) === before);
    }
});

test("prompts that share only a profile have homes by what they share beyond it", () => {
    const engines = createEngines(4, 9);
    const homes = Array.from({ length: 40 }, (...[, index]) => {
        const parts = [
            { partId: "profile", tokens: 600 },
            { partId: `dossier-${index}`, tokens: 5_000 },
            { partId: "own", tokens: 900 },
        ];
        const prompt = { ...createLongPrompt("profile", "own"), promptTokens: 6_500, parts };
        return groupEngines(engines, prompt, "zone-0").preferredPrefillEngine;
    });
    assert.equal(new Set(homes).size, 4);
});

test("a prompt that shares little has no home", () => {
    const groups = groupEngines(createEngines(4, 9), createShortPrompt("own"), "zone-0");
    assert.deepEqual([groups.preferredPrefillEngine, groups.preferredDecodeEngine], [undefined, undefined]);
});

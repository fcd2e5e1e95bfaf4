import assert from "node:assert/strict";
import { test } from "node:test";
import { EngineStage, type ListedTarget } from "../../../../ports/listedTarget.js";
import { createLongPrompt, createShortPrompt } from "../../__fixtures__/placementBench.js";
import { groupEngines } from "../groupEngines.js";

/** Creates engines in three zones. */
function createEngines(prefillEnginesPerZone: number, decodeEnginesPerZone: number): ListedTarget[] {
    const create = (stage: EngineStage, index: number): ListedTarget => ({
        targetId: `${stage}-${index}`,
        name: `${stage}-${index}`,
        service: "engines",
        address: "10.0.0.1:80",
        availabilityZone: `zone-${index % 3}`,
        slots: 24,
        isLeaving: false,
        softwareVersion: "v1",
        stage,
    });
    return [
        ...[...Array(prefillEnginesPerZone * 3).keys()].map(index => create(EngineStage.Prefill, index)),
        ...[...Array(decodeEnginesPerZone * 3).keys()].map(index => create(EngineStage.Decode, index)),
    ];
}

const zoneOf = (engines: readonly ListedTarget[], targetId: string | undefined) =>
    engines.find(engine => engine.targetId === targetId)?.availabilityZone;

test("with many engines in a zone, the preferred engines of its prompts are in the zone", () => {
    const engines = createEngines(4, 9);
    for (let index = 0; index < 40; index++) {
        const groups = groupEngines(engines, createLongPrompt(`guide-${index}`, "own"), "zone-1");
        assert.equal(zoneOf(engines, groups.preferredPrefillEngine), "zone-1");
        assert.equal(zoneOf(engines, groups.preferredDecodeEngine), "zone-1");
    }
});

test("with few engines in a zone, the preferred engine is the same for all zones", () => {
    const engines = createEngines(1, 2);
    const preferredEngines = (zone: string) =>
        [...Array(40).keys()].map(index =>
            groupEngines(engines, createLongPrompt(`guide-${index}`, "own"), zone).preferredPrefillEngine
        );
    assert.deepEqual(preferredEngines("zone-0"), preferredEngines("zone-2"));
    assert.deepEqual(new Set(preferredEngines("zone-0").map(targetId => zoneOf(engines, targetId))).size, 3);
});

test("removing an engine changes the preferred engine only of prompts that preferred it", () => {
    const engines = createEngines(4, 9);
    const preferredOf = (all: readonly ListedTarget[], index: number) =>
        groupEngines(all, createLongPrompt(`guide-${index}`, "own"), "zone-0").preferredPrefillEngine;
    const removed = preferredOf(engines, 0);
    const remaining = engines.filter(engine => engine.targetId !== removed);
    for (let index = 0; index < 40; index++) {
        const before = preferredOf(engines, index);
        assert.ok(before === removed || preferredOf(remaining, index) === before);
    }
});

test("prompts that share a profile are distributed by the longer prefix that they share", () => {
    const engines = createEngines(4, 9);
    const preferredEngines = Array.from({ length: 40 }, (...[, index]) => {
        const parts = [
            { partId: "profile", tokens: 600 },
            { partId: `dossier-${index}`, tokens: 5_000 },
            { partId: "own", tokens: 900 },
        ];
        const prompt = { ...createLongPrompt("profile", "own"), promptTokens: 6_500, parts };
        return groupEngines(engines, prompt, "zone-0").preferredPrefillEngine;
    });
    assert.equal(new Set(preferredEngines).size, 4);
});

test("a prompt with a short shared prefix has no preferred engine", () => {
    const groups = groupEngines(createEngines(4, 9), createShortPrompt("own"), "zone-0");
    assert.deepEqual([groups.preferredPrefillEngine, groups.preferredDecodeEngine], [undefined, undefined]);
});

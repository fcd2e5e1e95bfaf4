import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EngineStage } from "../../../../ports/listedTarget.js";
import {
    createDemand,
    createLongPrompt,
    createPlacementBench,
    createShortPrompt,
    engineService,
} from "../../__fixtures__/placementBench.js";
import { TargetEvidence } from "../../targets/createTargetHealth.js";
import { Mechanism } from "../mechanism.js";

const { Prefill, Decode } = EngineStage;
const stages = [Prefill, Prefill, Prefill, Decode, Decode];
const kvTokens = engineService.engine?.kvTokens ?? 0;

type Bench = ReturnType<typeof createPlacementBench>;

/** For each mechanism, an effect that occurs with it and not without it. */
const effects: readonly (readonly [Mechanism, string, (createBench: (seed?: number) => Bench) => boolean])[] = [
    [Mechanism.Homes, "one engine prefills all prompts with the same prefix", createBench => {
        const seeds = Array.from({ length: 20 }, (...[, index]) => index);
        const prefillTargets = seeds.map(seed => {
            const { placement } = createBench(seed);
            const placed = placement.placePrompt(createDemand(createLongPrompt("guide", `own-${seed}`)));
            return placed?.prefill?.target.targetId;
        });
        return new Set(prefillTargets).size === 1;
    }],
    [Mechanism.ZonePreference, "a plain call stays in its zone while the loads are equal", createBench => {
        const seeds = Array.from({ length: 20 }, (...[, index]) => index);
        return seeds.every(seed => {
            const target = createBench(seed).placement.placePlain(engineService.name, { avoid: new Set() });
            return target?.availabilityZone === "zone-0";
        });
    }],
    [Mechanism.CacheBeliefs, "an engine that has cached the prefix is expected to prefill less", createBench => {
        const { placement, caches } = createBench();
        const requirements = createDemand(createLongPrompt("guide", "own"));
        const before = placement.placePrompt(requirements);
        caches.record(before?.prefill?.target.targetId ?? "", requirements.prompt.parts, kvTokens);
        return (placement.placePrompt(requirements)?.prefill?.work ?? 0) < (before?.prefill?.work ?? 0);
    }],
    [Mechanism.KvFetch, "an engine fetches a prefix that another engine has cached", createBench => {
        const { placement, caches } = createBench();
        const { prompt, ...requirements } = createDemand(createLongPrompt("guide", "own"));
        caches.record("i-3", prompt.parts, kvTokens);
        return placement.placePrompt({ ...requirements, prompt })?.prefill?.fetchFrom !== undefined;
    }],
    [Mechanism.Pace, "an engine that was slow is expected to be slow", createBench => {
        const { slowdowns } = createBench();
        slowdowns.observe("i-0", 0, 100, 400);
        return slowdowns.factor("i-0") > 1;
    }],
    [Mechanism.PauseForecast, "a prompt is prefilled on a decode engine only if its pauses allow it", createBench => {
        const { placement, loads } = createBench();
        ["i-0", "i-1", "i-2"].forEach(id => loads.begin(id, { work: 9_000, isDeferred: false, tokens: 0 }));
        return placement.placePrompt(createDemand(createLongPrompt("guide", "own")))?.prefill !== undefined;
    }],
    [Mechanism.ReadingAtDecoders, "a short prompt is prefilled on a decode engine if others are busy", createBench => {
        const { placement, loads } = createBench();
        ["i-0", "i-1", "i-2"].forEach(id => loads.begin(id, { work: 9_000, isDeferred: false, tokens: 0 }));
        return placement.placePrompt(createDemand(createShortPrompt("own")))?.prefill === undefined;
    }],
    [Mechanism.Deferral, "a late call is deferred", createBench => {
        const { placement } = createBench();
        return placement.placePrompt(createDemand(createShortPrompt("own"), { aim: 0 }))?.isDeferred === true;
    }],
    [Mechanism.PeerMessages, "work in progress of a peer counts", createBench => {
        const { loads } = createBench();
        loads.recordPeer("peer", [{ targetId: "i-0", calls: 9, work: 500, deferredWork: 0, tokens: 0 }], 100);
        return loads.wait("i-0", false) > 0;
    }],
    [Mechanism.Trust, "a failing target is not selected", createBench => {
        const { health, listed } = createBench();
        Array.from({ length: 12 }).forEach(() => health.record("i-0", TargetEvidence.Unreachable));
        return !health.selectTrusted(listed).some(target => target.targetId === "i-0");
    }],
];

describe("mechanisms that an experiment switches off", () => {
    for (const [mechanism, effect, hasEffect] of effects) {
        it(`${mechanism}: ${effect}, and not without it`, () => {
            assert.equal(hasEffect(seed => createPlacementBench(stages, seed)), true);
            assert.equal(hasEffect(seed => createPlacementBench(stages, seed, new Set([mechanism]))), false);
        });
    }
});

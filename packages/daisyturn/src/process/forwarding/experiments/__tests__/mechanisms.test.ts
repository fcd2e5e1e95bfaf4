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

/** For each mechanism, something that is seen with it and not without it. */
const signs: readonly (readonly [Mechanism, string, (createBench: (seed?: number) => Bench) => boolean])[] = [
    [Mechanism.Homes, "one engine reads all that begins alike", createBench => {
        const seeds = Array.from({ length: 20 }, (...[, index]) => index);
        const read = seeds.map(seed => {
            const { placement } = createBench(seed);
            const way = placement.placePrompt(createDemand(createLongPrompt("guide", `own-${seed}`)));
            return way?.prefill?.target.targetId;
        });
        return new Set(read).size === 1;
    }],
    [Mechanism.ZonePreference, "a plain call stays in its zone while the load is alike", createBench => {
        const seeds = Array.from({ length: 20 }, (...[, index]) => index);
        return seeds.every(seed => {
            const target = createBench(seed).placement.placePlain(engineService.name, new Set());
            return target?.availabilityZone === "zone-0";
        });
    }],
    [Mechanism.CacheBeliefs, "an engine that keeps the beginning is expected to read less", createBench => {
        const { placement, caches } = createBench();
        const demand = createDemand(createLongPrompt("guide", "own"));
        const before = placement.placePrompt(demand);
        caches.record(before?.prefill?.target.targetId ?? "", demand.prompt.parts, kvTokens);
        return (placement.placePrompt(demand)?.prefill?.work ?? 0) < (before?.prefill?.work ?? 0);
    }],
    [Mechanism.KvFetch, "an engine fetches a beginning that another one keeps", createBench => {
        const { placement, caches } = createBench();
        const { prompt, ...demand } = createDemand(createLongPrompt("guide", "own"));
        caches.record("i-3", prompt.parts, kvTokens);
        return placement.placePrompt({ ...demand, prompt })?.prefill?.fetchFrom !== undefined;
    }],
    [Mechanism.Pace, "an engine that was slow is expected to be slow", createBench => {
        const { slowdowns } = createBench();
        slowdowns.observe("i-0", 0, 100, 400);
        return slowdowns.factor("i-0") > 1;
    }],
    [Mechanism.PauseForecast, "a prompt is read at a decoding engine only if its answers bear it", createBench => {
        const { placement, loads } = createBench();
        ["i-0", "i-1", "i-2"].forEach(id => loads.begin(id, { work: 9_000, isDeferred: false, tokens: 0 }));
        return placement.placePrompt(createDemand(createLongPrompt("guide", "own")))?.prefill !== undefined;
    }],
    [Mechanism.ReadingAtDecoders, "a short prompt is read at a decoding engine beside busy readers", createBench => {
        const { placement, loads } = createBench();
        ["i-0", "i-1", "i-2"].forEach(id => loads.begin(id, { work: 9_000, isDeferred: false, tokens: 0 }));
        return placement.placePrompt(createDemand(createShortPrompt("own")))?.prefill === undefined;
    }],
    [Mechanism.Deferral, "a late call goes behind the others", createBench => {
        const { placement } = createBench();
        return placement.placePrompt(createDemand(createShortPrompt("own"), { aim: 0 }))?.isDeferred === true;
    }],
    [Mechanism.PeerMessages, "what a peer has under way counts", createBench => {
        const { loads } = createBench();
        loads.recordPeer("peer", [{ targetId: "i-0", calls: 9, work: 500, deferredWork: 0, tokens: 0 }], 100);
        return loads.wait("i-0", false) > 0;
    }],
    [Mechanism.Trust, "a target that fails is left alone", createBench => {
        const { health, listed } = createBench();
        Array.from({ length: 12 }).forEach(() => health.record("i-0", TargetEvidence.Unreachable));
        return !health.selectTrusted(listed).some(target => target.targetId === "i-0");
    }],
];

describe("mechanisms that an experiment takes out", () => {
    for (const [mechanism, sign, isSeen] of signs) {
        it(`${mechanism}: ${sign}, and not without it`, () => {
            assert.equal(isSeen(seed => createPlacementBench(stages, seed)), true);
            assert.equal(isSeen(seed => createPlacementBench(stages, seed, new Set([mechanism]))), false);
        });
    }
});

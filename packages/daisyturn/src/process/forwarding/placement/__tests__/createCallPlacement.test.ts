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
import { Mechanism } from "../../experiments/mechanism.js";

const { Prefill, Decode } = EngineStage;
const stages = [Prefill, Prefill, Prefill, Decode, Decode, Decode, Decode, Decode];
const kvTokens = engineService.engine?.kvTokens ?? 0;

describe("placement of prompts", () => {
    it("reads prompts that begin alike at one engine while it has room, whichever process asks", () => {
        const homes = new Set<string | undefined>();
        for (let seed = 1; seed <= 20; seed++) {
            const { placement } = createPlacementBench(stages, seed);
            homes.add(
                placement.placePrompt(createDemand(createLongPrompt("guide", `own-${seed}`)))?.prefill?.target.targetId,
            );
        }
        assert.equal(homes.size, 1);
    });

    it("spreads beginnings over the reading engines", () => {
        const { placement } = createPlacementBench(stages);
        const counts = new Map<string, number>();
        for (let index = 0; index < 120; index++) {
            const way = placement.placePrompt(createDemand(createLongPrompt(`guide-${index}`, "own")));
            const home = way?.prefill?.target.targetId ?? "none";
            counts.set(home, (counts.get(home) ?? 0) + 1);
        }
        assert.deepEqual([...counts.keys()].sort(), ["i-0", "i-1", "i-2"]);
        assert.ok(Math.min(...counts.values()) >= 120 / 3 / 2, JSON.stringify([...counts]));
    });

    it("reads elsewhere once the queue of the engine that keeps the beginning costs more than reading it again", () => {
        const withoutFetch = new Set([Mechanism.KvFetch]);
        const { placement, caches, loads } = createPlacementBench(stages, 1, withoutFetch);
        const prompt = createLongPrompt("guide", "own");
        const home = placement.placePrompt(createDemand(prompt))?.prefill?.target.targetId ?? "";
        caches.record(home, prompt.parts, kvTokens);
        loads.begin(home, { work: 100, isDeferred: false, tokens: 0 });
        assert.equal(placement.placePrompt(createDemand(prompt))?.prefill?.target.targetId, home);
        loads.begin(home, { work: 1_500, isDeferred: false, tokens: 0 });
        assert.notEqual(placement.placePrompt(createDemand(prompt))?.prefill?.target.targetId, home);
    });

    it("fetches the beginning from the engine that keeps it once the queue there takes longer", () => {
        const { placement, caches, loads } = createPlacementBench(stages);
        const prompt = createLongPrompt("guide", "own");
        const first = placement.placePrompt(createDemand(prompt));
        const home = first?.prefill?.target.targetId ?? "";
        assert.equal(first?.prefill?.fetchFrom, undefined, "nobody keeps it yet");
        caches.record(home, prompt.parts, kvTokens);
        const atHome = placement.placePrompt(createDemand(prompt));
        assert.deepEqual([atHome?.prefill?.target.targetId, atHome?.prefill?.fetchFrom], [home, undefined]);
        loads.begin(home, { work: 150, isDeferred: false, tokens: 0 });
        const elsewhere = placement.placePrompt(createDemand(prompt));
        assert.notEqual(elsewhere?.prefill?.target.targetId, home);
        assert.equal(elsewhere?.prefill?.fetchFrom?.targetId, home);
        assert.ok(
            (elsewhere?.prefill?.work ?? Infinity) < (first?.prefill?.work ?? 0) / 2,
            "only its own part is read",
        );
    });

    it("fetches a beginning that only a decoding engine keeps, from the own zone where there is a choice", () => {
        const { placement, caches } = createPlacementBench(stages);
        const prompt = createLongPrompt("guide", "own");
        ["i-3", "i-4", "i-5"].forEach(decoder => caches.record(decoder, prompt.parts, kvTokens));
        const reader = placement.placePrompt(createDemand(prompt))?.prefill;
        assert.equal(reader?.fetchFrom?.availabilityZone, reader?.target.availabilityZone);
        assert.equal(reader?.fetchFrom?.stage, Decode);
    });

    it("counts what peers have under way", () => {
        const { placement, loads } = createPlacementBench(stages);
        const busy = ["i-0", "i-1"].map(targetId => ({ targetId, calls: 9, work: 2_000, deferredWork: 0, tokens: 0 }));
        loads.recordPeer("peer", busy, 100);
        for (let index = 0; index < 20; index++) {
            const way = placement.placePrompt(createDemand(createLongPrompt(`guide-${index}`, "own")));
            assert.ok(!["i-0", "i-1"].includes(way?.prefill?.target.targetId ?? ""));
        }
    });

    it("defers what can't be on time, and nothing else", () => {
        const { placement, loads } = createPlacementBench(stages);
        assert.equal(placement.placePrompt(createDemand(createShortPrompt("a")))?.isDeferred, false);
        for (const target of stages.keys()) {
            loads.begin(`i-${target}`, { work: 900, isDeferred: false, tokens: 0 });
        }
        assert.equal(placement.placePrompt(createDemand(createShortPrompt("b")))?.isDeferred, true);
    });

    it("forecasts by how slow an engine seems, and refuses by how fast it can be", () => {
        const { placement, slowdowns } = createPlacementBench(stages);
        const demand = createDemand(createLongPrompt("guide", "own"));
        const before = placement.placePrompt(demand);
        stages.forEach((...[, index]) => slowdowns.observe(`i-${index}`, 0, 100, 800));
        const after = placement.placePrompt(demand);
        assert.ok(before && after && after.firstEvent > before.firstEvent * 1.5, JSON.stringify(after));
        assert.ok(Math.abs(after.soonestEvent - before.soonestEvent) < 1, JSON.stringify(after));
    });

    it("lets calls that can be on time pass those that are deferred", () => {
        const { placement, loads } = createPlacementBench(stages);
        for (const target of stages.keys()) {
            loads.begin(`i-${target}`, { work: 5_000, isDeferred: true, tokens: 0 });
        }
        const way = placement.placePrompt(createDemand(createShortPrompt("a")));
        assert.equal(way?.isDeferred, false);
        assert.ok((way?.firstEvent ?? Infinity) < 100);
    });

    it("reads at an engine that decodes only what its answers bear between two events", () => {
        const { placement, loads } = createPlacementBench([Prefill, Decode, Decode]);
        loads.begin("i-0", { work: 400, isDeferred: false, tokens: 0 });
        const place = (pauseAim: number) => placement.placePrompt(createDemand(createShortPrompt("a"), { pauseAim }));
        assert.equal(place(150)?.prefill, undefined);
        assert.equal(place(60)?.prefill?.target.targetId, "i-0");
        loads.begin("i-1", { work: 60, isDeferred: false, tokens: 0 });
        loads.begin("i-2", { work: 60, isDeferred: false, tokens: 0 });
        assert.equal(place(150)?.prefill?.target.targetId, "i-0");
    });

    it("reads anything at an engine that decodes where no engine only reads", () => {
        const { placement, loads } = createPlacementBench([Decode]);
        loads.begin("i-0", { work: 400, isDeferred: false, tokens: 0 });
        const way = placement.placePrompt(createDemand(createLongPrompt("guide", "own")));
        assert.equal(way?.decode.target.targetId, "i-0");
    });

    it("decodes long answers where no prompts are read", () => {
        const { placement, loads } = createPlacementBench(stages);
        for (const targetId of ["i-3", "i-4", "i-5", "i-6"]) {
            loads.begin(targetId, { work: 150, isDeferred: false, tokens: 0 });
        }
        for (let index = 0; index < 20; index++) {
            const way = placement.placePrompt(createDemand(createLongPrompt(`guide-${index}`, "own")));
            assert.equal(way?.decode.target.targetId, "i-7");
        }
    });

    it("avoids engines whose memory is taken", () => {
        const { placement, loads } = createPlacementBench(stages);
        for (const targetId of ["i-3", "i-4", "i-5", "i-6"]) {
            loads.begin(targetId, { work: 0, isDeferred: false, tokens: kvTokens });
        }
        const way = placement.placePrompt(createDemand(createLongPrompt("guide", "own")));
        assert.equal(way?.decode.target.targetId, "i-7");
    });

    it("uses no engine that is closed or that failed the call, and none at all if nothing is left", () => {
        const { placement, closed, clock } = createPlacementBench([undefined, undefined]);
        closed.close("i-0", clock.monotonicNow() + 1_000);
        const place = (avoid: string[]) =>
            placement.placePrompt(createDemand(createShortPrompt("a"), { avoid: new Set(avoid) }));
        assert.equal(place([])?.decode.target.targetId, "i-1");
        assert.equal(place(["i-1"]), undefined);
    });

    it("places whole where no engine only reads", () => {
        const { placement } = createPlacementBench([undefined, undefined, undefined]);
        const way = placement.placePrompt(createDemand(createLongPrompt("guide", "own")));
        assert.equal(way?.prefill, undefined);
        assert.ok(way?.decode);
    });

    it("has no way where only engines that read are left", () => {
        const { placement } = createPlacementBench([Prefill, Prefill]);
        assert.equal(placement.placePrompt(createDemand(createShortPrompt("a"))), undefined);
    });
});

describe("placement of plain calls", () => {
    it("prefers the own availability zone until its target is fuller than another", () => {
        const { placement, loads } = createPlacementBench([undefined, undefined, undefined]);
        const place = () => placement.placePlain(engineService.name, new Set())?.targetId;
        assert.equal(place(), "i-0");
        for (let call = 0; call < 12; call++) {
            loads.begin("i-0", { work: 0, isDeferred: false, tokens: 0 });
        }
        assert.notEqual(place(), "i-0");
    });
});

/**
 * A burst of long prompts at twice what the engines can read, played without a network: reading engines work through
 * their queue at the estimated pace, calls that are on time before those that are deferred.
 */
describe("a burst of long prompts", () => {
    const play = async (deferLate: boolean) => {
        const { placement, loads, caches, clock } = createPlacementBench(stages, 7);
        const running = new Map<string, { work: number; isDeferred: boolean; begin: number; end: () => void; }[]>();
        let onTime = 0;
        for (let step = 0; step < 400; step++) {
            const prompt = createLongPrompt(`guide-${step % 60}`, `own-${step}`);
            const demand = createDemand(prompt, { isWholeOnly: false, aim: deferLate ? 500 : Infinity });
            const way = placement.placePrompt(demand);
            const reader = way?.prefill ?? way?.decode;
            if (way && reader) {
                const cost = { work: reader.work, isDeferred: way.isDeferred, tokens: 0 };
                const placed = loads.begin(reader.target.targetId, cost);
                caches.record(reader.target.targetId, prompt.parts, kvTokens);
                const queue = running.get(reader.target.targetId) ?? [];
                queue.push({ ...cost, begin: clock.monotonicNow(), end: placed.end });
                running.set(reader.target.targetId, queue);
            }
            await clock.advance(12);
            running.forEach(queue => {
                let left = 12;
                queue.sort((first, second) => Number(first.isDeferred) - Number(second.isDeferred));
                while (left > 0 && queue[0]) {
                    const done = Math.min(left, queue[0].work);
                    queue[0].work -= done;
                    left -= done;
                    if (queue[0].work <= 0) {
                        const finished = queue.shift();
                        finished?.end();
                        onTime += clock.monotonicNow() - (finished?.begin ?? 0) <= 600 ? 1 : 0;
                    }
                }
            });
        }
        return onTime;
    };

    it("answers more on time with late calls deferred than with all in one queue", async () => {
        const one = await play(false);
        const deferred = await play(true);
        assert.ok(deferred > one * 1.2, `on time: ${deferred} deferred, ${one} in one queue`);
    });
});

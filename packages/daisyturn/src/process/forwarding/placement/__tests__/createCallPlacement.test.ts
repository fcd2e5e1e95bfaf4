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
    it("prefills prompts with the same prefix at one engine while it has capacity, at any process", () => {
        const engines = new Set<string | undefined>();
        for (let seed = 1; seed <= 20; seed++) {
            const { placement } = createPlacementBench(stages, seed);
            engines.add(
                placement.placePrompt(createDemand(createLongPrompt("guide", `own-${seed}`)))?.prefill?.target
                    .targetId,
            );
        }
        assert.equal(engines.size, 1);
    });

    it("distributes prefixes over the prefill engines", () => {
        const { placement } = createPlacementBench(stages);
        const counts = new Map<string, number>();
        for (let index = 0; index < 120; index++) {
            const placed = placement.placePrompt(createDemand(createLongPrompt(`guide-${index}`, "own")));
            const preferred = placed?.prefill?.target.targetId ?? "none";
            counts.set(preferred, (counts.get(preferred) ?? 0) + 1);
        }
        assert.deepEqual([...counts.keys()].sort(), ["i-0", "i-1", "i-2"]);
        assert.ok(Math.min(...counts.values()) >= 120 / 3 / 2, JSON.stringify([...counts]));
    });

    it("prefills at another engine once the queue of the one that has cached the prefix costs more", () => {
        const withoutFetch = new Set([Mechanism.KvFetch]);
        const { placement, caches, loads } = createPlacementBench(stages, 1, withoutFetch);
        const prompt = createLongPrompt("guide", "own");
        const preferred = placement.placePrompt(createDemand(prompt))?.prefill?.target.targetId ?? "";
        caches.record(preferred, prompt.parts, kvTokens);
        loads.begin(preferred, { work: 100, isDeferred: false, tokens: 0 });
        assert.equal(placement.placePrompt(createDemand(prompt))?.prefill?.target.targetId, preferred);
        loads.begin(preferred, { work: 1_500, isDeferred: false, tokens: 0 });
        assert.notEqual(placement.placePrompt(createDemand(prompt))?.prefill?.target.targetId, preferred);
    });

    it("fetches the prefix from the engine that has cached it once the queue there takes longer", () => {
        const { placement, caches, loads } = createPlacementBench(stages);
        const prompt = createLongPrompt("guide", "own");
        const first = placement.placePrompt(createDemand(prompt));
        const preferred = first?.prefill?.target.targetId ?? "";
        assert.equal(first?.prefill?.fetchFrom, undefined, "no engine has cached it yet");
        caches.record(preferred, prompt.parts, kvTokens);
        const atPreferred = placement.placePrompt(createDemand(prompt));
        assert.deepEqual([atPreferred?.prefill?.target.targetId, atPreferred?.prefill?.fetchFrom], [
            preferred,
            undefined,
        ]);
        loads.begin(preferred, { work: 150, isDeferred: false, tokens: 0 });
        const elsewhere = placement.placePrompt(createDemand(prompt));
        assert.notEqual(elsewhere?.prefill?.target.targetId, preferred);
        assert.equal(elsewhere?.prefill?.fetchFrom?.targetId, preferred);
        assert.ok(
            (elsewhere?.prefill?.work ?? Infinity) < (first?.prefill?.work ?? 0) / 2,
            "only its own part is prefilled",
        );
    });

    it("fetches a prefix that only decode engines have cached, preferably from the same zone", () => {
        const { placement, caches } = createPlacementBench(stages);
        const prompt = createLongPrompt("guide", "own");
        ["i-3", "i-4", "i-5"].forEach(decoder => caches.record(decoder, prompt.parts, kvTokens));
        const prefillStep = placement.placePrompt(createDemand(prompt))?.prefill;
        assert.equal(prefillStep?.fetchFrom?.availabilityZone, prefillStep?.target.availabilityZone);
        assert.equal(prefillStep?.fetchFrom?.stage, Decode);
    });

    it("takes the reported work of peers into account", () => {
        const { placement, loads } = createPlacementBench(stages);
        const busy = ["i-0", "i-1"].map(targetId => ({ targetId, calls: 9, work: 2_000, deferredWork: 0, tokens: 0 }));
        loads.recordPeer("peer", busy, 100);
        for (let index = 0; index < 20; index++) {
            const placed = placement.placePrompt(createDemand(createLongPrompt(`guide-${index}`, "own")));
            assert.ok(!["i-0", "i-1"].includes(placed?.prefill?.target.targetId ?? ""));
        }
    });

    it("defers only prompts that can't be on time", () => {
        const { placement, loads } = createPlacementBench(stages);
        assert.equal(placement.placePrompt(createDemand(createShortPrompt("a")))?.isDeferred, false);
        for (const target of stages.keys()) {
            loads.begin(`i-${target}`, { work: 900, isDeferred: false, tokens: 0 });
        }
        assert.equal(placement.placePrompt(createDemand(createShortPrompt("b")))?.isDeferred, true);
    });

    it("includes slowdowns in the forecast of the first event, but not in the soonest event", () => {
        const { placement, slowdowns } = createPlacementBench(stages);
        const demand = createDemand(createLongPrompt("guide", "own"));
        const before = placement.placePrompt(demand);
        stages.forEach((...[, index]) => slowdowns.observe(`i-${index}`, 0, 100, 800));
        const after = placement.placePrompt(demand);
        assert.ok(before && after && after.firstEvent > before.firstEvent * 1.5, JSON.stringify(after));
        assert.ok(Math.abs(after.soonestEvent - before.soonestEvent) < 1, JSON.stringify(after));
    });

    it("does not let calls that can be on time wait for deferred ones", () => {
        const { placement, loads } = createPlacementBench(stages);
        for (const target of stages.keys()) {
            loads.begin(`i-${target}`, { work: 5_000, isDeferred: true, tokens: 0 });
        }
        const placed = placement.placePrompt(createDemand(createShortPrompt("a")));
        assert.equal(placed?.isDeferred, false);
        assert.ok((placed?.firstEvent ?? Infinity) < 100);
    });

    it("prefills at a decode engine only while its answers stay within the target pause", () => {
        const { placement, loads } = createPlacementBench([Prefill, Decode, Decode]);
        loads.begin("i-0", { work: 400, isDeferred: false, tokens: 0 });
        const place = (pauseAim: number) => placement.placePrompt(createDemand(createShortPrompt("a"), { pauseAim }));
        assert.equal(place(150)?.prefill, undefined);
        assert.equal(place(60)?.prefill?.target.targetId, "i-0");
        loads.begin("i-1", { work: 60, isDeferred: false, tokens: 0 });
        loads.begin("i-2", { work: 60, isDeferred: false, tokens: 0 });
        assert.equal(place(150)?.prefill?.target.targetId, "i-0");
    });

    it("prefills any prompt at a decode engine if there is no prefill engine", () => {
        const { placement, loads } = createPlacementBench([Decode]);
        loads.begin("i-0", { work: 400, isDeferred: false, tokens: 0 });
        const placed = placement.placePrompt(createDemand(createLongPrompt("guide", "own")));
        assert.equal(placed?.decode.target.targetId, "i-0");
    });

    it("decodes long answers at engines without pending prefills", () => {
        const { placement, loads } = createPlacementBench(stages);
        for (const targetId of ["i-3", "i-4", "i-5", "i-6"]) {
            loads.begin(targetId, { work: 150, isDeferred: false, tokens: 0 });
        }
        for (let index = 0; index < 20; index++) {
            const placed = placement.placePrompt(createDemand(createLongPrompt(`guide-${index}`, "own")));
            assert.equal(placed?.decode.target.targetId, "i-7");
        }
    });

    it("avoids engines whose memory is full", () => {
        const { placement, loads } = createPlacementBench(stages);
        for (const targetId of ["i-3", "i-4", "i-5", "i-6"]) {
            loads.begin(targetId, { work: 0, isDeferred: false, tokens: kvTokens });
        }
        const placed = placement.placePrompt(createDemand(createLongPrompt("guide", "own")));
        assert.equal(placed?.decode.target.targetId, "i-7");
    });

    it("uses no engine that is closed or that failed the call, and returns undefined if none is left", () => {
        const { placement, closed, clock } = createPlacementBench([undefined, undefined]);
        closed.close("i-0", clock.monotonicNow() + 1_000);
        const place = (avoid: string[]) =>
            placement.placePrompt(createDemand(createShortPrompt("a"), { avoid: new Set(avoid) }));
        assert.equal(place([])?.decode.target.targetId, "i-1");
        assert.equal(place(["i-1"]), undefined);
    });

    it("prefills and decodes at one engine if there is no prefill engine", () => {
        const { placement } = createPlacementBench([undefined, undefined, undefined]);
        const placed = placement.placePrompt(createDemand(createLongPrompt("guide", "own")));
        assert.equal(placed?.prefill, undefined);
        assert.ok(placed?.decode);
    });

    it("returns no placement if only prefill engines are left", () => {
        const { placement } = createPlacementBench([Prefill, Prefill]);
        assert.equal(placement.placePrompt(createDemand(createShortPrompt("a"))), undefined);
    });
});

describe("placement of plain calls", () => {
    it("prefers the process's availability zone until its target is fuller than another", () => {
        const { placement, loads } = createPlacementBench([undefined, undefined, undefined]);
        const place = () => placement.placePlain(engineService.name, { avoid: new Set() })?.targetId;
        assert.equal(place(), "i-0");
        for (let call = 0; call < 12; call++) {
            loads.begin("i-0", { work: 0, isDeferred: false, tokens: 0 });
        }
        assert.notEqual(place(), "i-0");
    });
});

/**
 * Simulates a burst of long prompts at twice the prefill capacity, without a network. Prefill engines process their
 * queue at the estimated speed, calls that can be on time before deferred ones.
 */
describe("a burst of long prompts", () => {
    const simulate = async (deferLate: boolean) => {
        const { placement, loads, caches, clock } = createPlacementBench(stages, 7);
        const running = new Map<string, { work: number; isDeferred: boolean; begin: number; end: () => void; }[]>();
        let onTime = 0;
        for (let step = 0; step < 400; step++) {
            const prompt = createLongPrompt(`guide-${step % 60}`, `own-${step}`);
            const demand = createDemand(prompt, { isWholeOnly: false, aim: deferLate ? 500 : Infinity });
            const placed = placement.placePrompt(demand);
            const prefillStep = placed?.prefill ?? placed?.decode;
            if (placed && prefillStep) {
                const cost = { work: prefillStep.work, isDeferred: placed.isDeferred, tokens: 0 };
                const placedWork = loads.begin(prefillStep.target.targetId, cost);
                caches.record(prefillStep.target.targetId, prompt.parts, kvTokens);
                const queue = running.get(prefillStep.target.targetId) ?? [];
                queue.push({ ...cost, begin: clock.monotonicNow(), end: placedWork.end });
                running.set(prefillStep.target.targetId, queue);
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

    it("answers more calls on time with deferral than with all calls in one queue", async () => {
        const inOneQueue = await simulate(false);
        const deferred = await simulate(true);
        assert.ok(deferred > inOneQueue * 1.2, `on time: ${deferred} deferred, ${inOneQueue} in one queue`);
    });
});

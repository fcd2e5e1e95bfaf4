import { createSeededRandom, type Random } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { PromptDescription } from "../../../../ports/forwardedCall.js";
import { EngineStage, type ListedTarget } from "../../../../ports/listedTarget.js";
import {
    createDemand,
    createLongPrompt,
    createPlacementBench,
    createShortPrompt,
    engineService,
} from "../../__fixtures__/placementBench.js";
import { estimatePrefill, estimateTransfer } from "../estimatePrefill.js";

const hopMilliseconds = 8;
/** A pause is forecast as if so many times as much were read as is known. */
const pauseReserve = 1.5;
const worlds = 300;

/** A few engines with random queues and caches, and one prompt, long or short. */
function createWorld(seed: number) {
    const random = createSeededRandom(seed);
    const stageCount = (most: number) => 1 + random.integerBelow(most);
    const stages = [
        ...Array<EngineStage>(stageCount(3)).fill(EngineStage.Prefill),
        ...Array<EngineStage>(stageCount(4)).fill(EngineStage.Decode),
    ];
    const bench = createPlacementBench(stages, seed);
    const prompt = random.fraction() < 0.5 ? createLongPrompt("guide", "own") : createShortPrompt("own");
    bench.listed.forEach(engine => occupy(bench, engine, prompt, random));
    return { ...bench, prompt };
}

type World = ReturnType<typeof createWorld>;

function occupy(
    { loads, caches }: ReturnType<typeof createPlacementBench>,
    { targetId }: ListedTarget,
    prompt: PromptDescription,
    random: Random,
): void {
    if (random.fraction() < 0.6) {
        loads.begin(targetId, { work: random.fraction() * 600, isDeferred: false, tokens: 0 });
    }
    if (random.fraction() < 0.4) {
        caches.record(targetId, prompt.parts, engineService.engine?.kvTokens ?? 0);
    }
}

/** The soonest first event over all pairs of engines and all single ones, by the same estimates. */
function findSoonest(world: World): number {
    const { listed, prompt } = world;
    const readers = listed.filter(engine => engine.stage === EngineStage.Prefill);
    const decoders = listed.filter(engine => engine.stage === EngineStage.Decode);
    const pairs = readers.flatMap(reader => decoders.map(decoder => estimatePair(world, reader, decoder)));
    const whole = decoders
        .filter(decoder => bearsReading(world, decoder))
        .map(decoder => readAt(world, decoder, prompt) + hopMilliseconds);
    return Math.min(...pairs, ...whole);
}

/** Answers that are decoded there keep their pauses while the prompt is read. */
function bearsReading(world: World, decoder: ListedTarget): boolean {
    const interval = world.eventIntervals.interval(engineService.name);
    return interval + readAt(world, decoder, world.prompt) * pauseReserve <= createDemand(world.prompt).pauseAim;
}

/** Reading with what the engine keeps, or with what it fetches from any other engine. */
function readAt(world: World, engine: ListedTarget, prompt: PromptDescription): number {
    const { loads, caches, listed, prefillRates } = world;
    const rate = prefillRates.rate(engineService.name);
    const keptAt = ({ targetId }: ListedTarget) => caches.keptTokens(targetId, prompt.parts);
    const isShared = engine.stage === EngineStage.Decode;
    const wait = loads.wait(engine.targetId, false);
    const fetched = listed.filter(holder => keptAt(holder) > keptAt(engine)).map(holder => {
        const transfer = estimateMove(keptAt(holder) - keptAt(engine), holder, engine);
        return Math.max(wait, transfer) + estimatePrefill(rate, prompt.promptTokens, keptAt(holder), isShared);
    });
    return Math.min(wait + estimatePrefill(rate, prompt.promptTokens, keptAt(engine), isShared), ...fetched);
}

function estimateMove(tokens: number, from: ListedTarget, to: ListedTarget): number {
    const { bytesPerToken = 0, linkMegabits = 0 } = engineService.engine ?? {};
    return estimateTransfer(tokens, bytesPerToken, linkMegabits, from.availabilityZone !== to.availabilityZone);
}

function estimatePair(world: World, reader: ListedTarget, decoder: ListedTarget): number {
    const { loads, caches, prompt } = world;
    const moved = prompt.promptTokens - caches.keptTokens(decoder.targetId, prompt.parts);
    const chunk = Math.min(loads.wait(decoder.targetId, false), 20);
    return readAt(world, reader, prompt) + chunk + estimateMove(moved, reader, decoder) + hopMilliseconds;
}

test("the way that is chosen is nearly as soon as the soonest of all ways", () => {
    let gaps = 0;
    let lateThoughPossible = 0;
    for (let seed = 1; seed <= worlds; seed++) {
        const world = createWorld(seed);
        const soonest = findSoonest(world);
        const way = world.placement.placePrompt(createDemand(world.prompt));
        assert.ok(way);
        assert.ok(
            way.firstEvent >= soonest - 1,
            `seed ${seed}: ${way.firstEvent} is sooner than the soonest ${soonest}`,
        );
        gaps += way.firstEvent - soonest;
        lateThoughPossible += way.firstEvent > 500 && soonest <= 500 ? 1 : 0;
    }
    // It is not the soonest always: what a way costs others, and bytes between zones, count too.
    assert.ok(gaps / worlds <= 25, `${gaps / worlds} ms later on average`);
    // A cost of late ways made this nought, and starved the largest prompts behind those that it kept on time.
    assert.ok(lateThoughPossible <= worlds * 0.04, `${lateThoughPossible} of ${worlds} late though one was on time`);
});

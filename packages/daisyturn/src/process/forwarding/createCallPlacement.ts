import type { Random } from "daisyturn-utils";
import type { PromptDescription } from "../../ports/forwardedCall.js";
import { EngineStage, type ListedTarget } from "../../ports/listedTarget.js";
import type { EngineTraits, ForwardService } from "../../version/forwarding/forwardingConfiguration.js";
import { hashTextTo32Bits, rendezvousWeight } from "../rendezvous.js";
import type { CacheBeliefs } from "./createCacheBeliefs.js";
import type { PaceView } from "./createPaceView.js";
import type { TargetHealth } from "./createTargetHealth.js";
import type { TargetList } from "./createTargetList.js";
import type { TargetLoads } from "./createTargetLoads.js";
import { estimatePrefill, estimateTransfer } from "./estimatePrefill.js";

/** Where one part of a call goes. */
export interface PlacedStep {
    readonly target: ListedTarget;
    /** Estimated milliseconds of expensive work there, and before the target turns to it. */
    readonly work: number;
    readonly wait: number;
}

/** How a prompt is served: read at one engine and decoded at another, or both at one. */
export interface PromptWay {
    readonly prefill?: PlacedStep;
    readonly decode: PlacedStep;
    /** Estimated milliseconds to the first event. */
    readonly firstEvent: number;
}

/** Chooses targets for calls. */
export interface CallPlacement {
    placePlain(service: string, avoid: ReadonlySet<string>): ListedTarget | undefined;
    /** @param wholeOnly whether both parts have to be done by one engine */
    placePrompt(
        service: ForwardService,
        prompt: PromptDescription,
        bodyBytes: number,
        avoid: ReadonlySet<string>,
        wholeOnly?: boolean,
    ): PromptWay | undefined;
}

/** What {@link createCallPlacement} needs. */
export interface CallPlacementOptions {
    readonly targets: TargetList;
    readonly loads: TargetLoads;
    readonly health: TargetHealth;
    readonly caches: CacheBeliefs;
    readonly paces: PaceView;
    readonly random: Random;
    readonly availabilityZone: string;
}

/** Prompts that share less than this are placed by load alone: reading it again takes less than a step. */
const affinityTokens = 512;
/** Work counts beyond the time it takes itself: it delays whatever comes after it at the same engine. */
const externality = 0.8;
/** Estimates differ at random by this fraction, so that processes which know the same don't all choose the same. */
const spread = 0.15;
/**
 * Bytes between availability zones are paid for: a target in another one is taken where that saves so many
 * milliseconds, and so many more for each kilobyte sent.
 */
const otherZoneMilliseconds = 8;
const otherZoneMillisecondsPerKilobyte = 1.2;
const bytesPerKilobyte = 1_024;
/** A plain target in another availability zone is taken only if it has this many calls fewer, in parts of its slots. */
const otherZonePenalty = 0.35;
/** A chunk of a prompt, read between two steps of a batch. */
const chunkMilliseconds = 20;
/** A place in a full batch comes free about this often. */
const turnMilliseconds = 5;
/** One hop to an engine and back, with the engine's step, in milliseconds. */
const hopMilliseconds = 8;

/** Creates the placement policy of one process. */
export function createCallPlacement(options: CallPlacementOptions): CallPlacement {
    const { targets, loads, health, caches, paces, random, availabilityZone } = options;

    const listUsable = (service: string, avoid: ReadonlySet<string>): readonly ListedTarget[] => {
        const trusted = health.selectTrusted(targets.open(service));
        const untried = trusted.filter(target => !avoid.has(target.targetId));
        return untried.length > 0 ? untried : targets.open(service).filter(target => !avoid.has(target.targetId));
    };

    const scatter = () => 1 + spread * (random.fraction() - 0.5);

    const placePlain = (service: string, avoid: ReadonlySet<string>) =>
        findLeast(listUsable(service, avoid), target => {
            const fill = (loads.calls(target.targetId) + 1) / Math.max(1, target.slots);
            return fill * scatter() + (target.availabilityZone === availabilityZone ? 0 : otherZonePenalty);
        });

    /** Engines in the order in which all processes try them for prompts that begin alike. */
    const findHome = (engines: readonly ListedTarget[], key: number | undefined): string | undefined =>
        key === undefined
            ? undefined
            : findLeast(engines, engine => -rendezvousWeight(key, hashTextTo32Bits(engine.targetId)))?.targetId;

    const estimateStep = (
        engine: ListedTarget,
        prompt: PromptDescription,
        home: string | undefined,
        isShared: boolean,
    ): PlacedStep => {
        const known = caches.keptTokens(engine.targetId, prompt.parts);
        const kept = engine.targetId === home ? sumShared(prompt) : known;
        const work = estimatePrefill(prompt.promptTokens, kept, isShared) * paces.factor(engine.targetId);
        return { target: engine, work, wait: loads.wait(engine.targetId) + placeWait(engine) };
    };

    const zoneCost = (engine: ListedTarget, bodyBytes: number) =>
        engine.availabilityZone === availabilityZone
            ? 0
            : otherZoneMilliseconds + bodyBytes / bytesPerKilobyte * otherZoneMillisecondsPerKilobyte;

    const costOf = (step: PlacedStep, bodyBytes: number) =>
        (step.wait + step.work * (1 + externality)) * scatter() + zoneCost(step.target, bodyBytes);

    /** All places of the batch may be taken by calls whose prompts are read: those that wait take turns. */
    const placeWait = (engine: ListedTarget) => {
        const excess = loads.calls(engine.targetId) + 1 - engine.slots;
        return excess > 0 ? excess * turnMilliseconds : 0;
    };

    const placeSplit = (
        traits: EngineTraits,
        prompt: PromptDescription,
        readers: readonly ListedTarget[],
        decoders: readonly ListedTarget[],
        key: number | undefined,
        bodyBytes: number,
    ): (PromptWay & { readonly cost: number; }) | undefined => {
        const readerHome = findHome(readers, key);
        const steps = readers.map(engine => estimateStep(engine, prompt, readerHome, false));
        const prefill = findLeast(steps, step => costOf(step, bodyBytes));
        if (!prefill) {
            return undefined;
        }
        const decoderHome = findHome(decoders, key);
        const findTransfer = (engine: ListedTarget) =>
            estimateTransfer(
                prompt.promptTokens - (engine.targetId === decoderHome ? sumShared(prompt) : 0),
                traits.bytesPerToken,
                traits.linkMegabits,
                engine.availabilityZone !== prefill.target.availabilityZone,
            );
        // Prompts read there delay the answer's first step by a chunk, not by the whole queue.
        const decodeWait = (engine: ListedTarget) =>
            placeWait(engine) + Math.min(loads.wait(engine.targetId), chunkMilliseconds) + findTransfer(engine);
        const decodeCost = (engine: ListedTarget) => decodeWait(engine) + zoneCost(engine, bodyBytes);
        const engine = findLeast(decoders, candidate => decodeCost(candidate) * scatter());
        if (!engine) {
            return undefined;
        }
        const tail = decodeWait(engine) + hopMilliseconds;
        const decode = { target: engine, work: 0, wait: decodeWait(engine) };
        const cost = costOf(prefill, bodyBytes) + decodeCost(engine) + hopMilliseconds;
        return { prefill, decode, firstEvent: prefill.wait + prefill.work + tail, cost };
    };

    const placeWhole = (
        prompt: PromptDescription,
        engines: readonly ListedTarget[],
        key: number | undefined,
        bodyBytes: number,
    ): (PromptWay & { readonly cost: number; }) | undefined => {
        // Engines that also decode get most prompts read elsewhere, so a common home says nothing of their caches.
        const homeReaders = engines.some(engine => engine.stage === EngineStage.Decode) ? [] : engines;
        const home = findHome(homeReaders, key);
        const steps = engines.map(engine => estimateStep(engine, prompt, home, engine.stage === EngineStage.Decode));
        const decode = findLeast(steps, step => costOf(step, bodyBytes));
        const firstEvent = (step: PlacedStep) => step.wait + step.work + hopMilliseconds;
        return decode && { decode, firstEvent: firstEvent(decode), cost: costOf(decode, bodyBytes) };
    };

    const placePrompt = (
        service: ForwardService,
        prompt: PromptDescription,
        bodyBytes: number,
        avoid: ReadonlySet<string>,
        wholeOnly = false,
    ): PromptWay | undefined => {
        const usable = listUsable(service.name, avoid);
        const decoders = usable.filter(target => target.stage !== EngineStage.Prefill);
        const readers = usable.filter(target => target.stage === EngineStage.Prefill);
        const key = findAffinityKey(prompt);
        const whole = placeWhole(prompt, decoders, key, bodyBytes);
        const canSplit = !wholeOnly && service.engine !== undefined;
        const split = canSplit ? placeSplit(service.engine, prompt, readers, decoders, key, bodyBytes) : undefined;
        return split && (!whole || split.cost < whole.cost) ? split : whole;
    };

    return { placePlain, placePrompt };
}

function sumShared(prompt: PromptDescription): number {
    return prompt.parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
}

/** Prompts that begin with the same long text get the same key. */
function findAffinityKey(prompt: PromptDescription): number | undefined {
    const first = prompt.parts[0];
    return first && sumShared(prompt) >= affinityTokens ? hashTextTo32Bits(first.partId) : undefined;
}

function findLeast<Item>(items: readonly Item[], cost: (item: Item) => number): Item | undefined {
    let best: Item | undefined;
    let bestCost = Infinity;
    for (const item of items) {
        const itemCost = cost(item);
        if (itemCost < bestCost) {
            best = item;
            bestCost = itemCost;
        }
    }
    return best;
}

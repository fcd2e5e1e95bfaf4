import type { Random } from "daisyturn-utils";
import { EngineStage, type ListedTarget } from "../../../ports/listedTarget.js";
import type { EngineTraits } from "../../../version/forwarding/forwardingConfiguration.js";
import { Mechanism } from "../experiments/mechanism.js";
import type { ClosedTargets } from "../targets/createClosedTargets.js";
import type { TargetHealth } from "../targets/createTargetHealth.js";
import type { TargetList } from "../targets/createTargetList.js";
import type { CacheBeliefs } from "../views/createCacheBeliefs.js";
import type { EventPace } from "../views/createEventPace.js";
import type { PaceView } from "../views/createPaceView.js";
import type { TargetLoads } from "../views/createTargetLoads.js";
import { CallPlacement, countTokens, type PlacedStep, type PromptDemand, type PromptWay } from "./callPlacement.js";
import { estimatePrefill, estimateTransfer, sharedEngineFactor } from "./estimatePrefill.js";
import { findLeast } from "./findLeast.js";
import { type EngineGroups, groupEngines, sumShared } from "./groupEngines.js";

/** What {@link createCallPlacement} needs. */
export interface CallPlacementOptions {
    readonly targets: TargetList;
    readonly loads: TargetLoads;
    readonly health: TargetHealth;
    readonly caches: CacheBeliefs;
    readonly paces: PaceView;
    readonly eventPace: EventPace;
    readonly closed: ClosedTargets;
    readonly random: Random;
    readonly availabilityZone: string;
    /** What an experiment takes out. */
    readonly switchedOff: ReadonlySet<Mechanism>;
}

/** Work counts beyond the time it takes itself: it delays whatever comes after it at the same engine. */
const externality = 0.8;
/** Reading at an engine that decodes stretches the steps of all answers it has under way. */
const decodingExternality = 2.5;
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
/**
 * Reading elsewhere than at the home of a prompt's beginning counts as so much later, in parts of the time to read the
 * beginning: what the home keeps serves all that begin alike, and a second copy pushes out what others begin with.
 */
const strayReadingFraction = 0.5;
/** The same for decoding: the home keeps what it fetches, and can read such prompts when the others are full. */
const strayDecodingMilliseconds = 70;
/**
 * Prompts that are read between the steps of a batch stretch each step, and with it the pause between two events of an
 * answer. A millisecond of such reading counts so many for an answer of several events, up to a limit.
 */
const pauseFactor = 2;
const mostPauseMilliseconds = 300;
/**
 * Decoding engines are asked to read prompts in an order that all processes share, each so much later than the one
 * before: the reading gathers at a few of them, and the others keep short steps for answers of several events.
 */
const readingOrderMilliseconds = 12;
/**
 * A pause is forecast as if so many times as much were read: other processes place prompts at the same engine before
 * they hear of this one.
 */
const pauseReserve = 1.5;
/** A chunk of a prompt, read between two steps of a batch. */
const chunkMilliseconds = 20;
/** A place in a full batch comes free about this often. */
const turnMilliseconds = 8;
/** Tokens of KV cache that the ends of calls free in a millisecond, once memory is full. */
const tokensFreedPerMillisecond = 150;
/** What is beyond this part of the memory is kept free: a call that outgrows it is put back and read again. */
const usableMemoryFraction = 0.85;
/** One hop to an engine and back, with the engine's step, in milliseconds. */
const hopMilliseconds = 8;

/**
 * Creates the placement policy of one process: the way that is the soonest, with regard to what it costs others. A call
 * that can't be on time by any way is deferred: with all in one queue, an overload makes every answer late, while so
 * only those are that exceed what the engines can do.
 */
export function createCallPlacement(options: CallPlacementOptions): CallPlacement {
    const { targets, loads, health, caches, paces, eventPace, closed, random, switchedOff } = options;
    const isOn = (mechanism: Mechanism) => !switchedOff.has(mechanism);
    const isNear = (target: ListedTarget) =>
        target.availabilityZone === options.availabilityZone || !isOn(Mechanism.ZonePreference);

    const listUsable = (service: string, avoid: ReadonlySet<string>): readonly ListedTarget[] => {
        const trusted = health.selectTrusted(listOpen(service));
        const untried = trusted.filter(target => !avoid.has(target.targetId));
        return untried.length > 0 ? untried : listOpen(service).filter(target => !avoid.has(target.targetId));
    };

    const listOpen = (service: string) => targets.open(service).filter(target => !closed.isClosed(target.targetId));

    const scatter = () => 1 + spread * (random.fraction() - 0.5);

    const placePlain = (service: string, avoid: ReadonlySet<string>) =>
        findLeast(listUsable(service, avoid), target => {
            const fill = (loads.calls(target.targetId) + 1) / Math.max(1, target.slots);
            return fill * scatter() + (isNear(target) ? 0 : otherZonePenalty);
        });

    const zoneCost = (engine: ListedTarget, bodyBytes: number) =>
        isNear(engine) ? 0 : otherZoneMilliseconds + bodyBytes / bytesPerKilobyte * otherZoneMillisecondsPerKilobyte;

    const costOf = (step: PlacedStep, bodyBytes: number) =>
        (step.wait + step.work * (1 + externalityOf(step.target))) * scatter() + zoneCost(step.target, bodyBytes);

    const externalityOf = (engine: ListedTarget) =>
        engine.stage === EngineStage.Decode ? decodingExternality : externality;

    /** With all places of the batch taken, or all memory, a call waits until others end. */
    const placeWait = (engine: ListedTarget, { prompt, service }: PromptDemand) => {
        const excess = Math.max(0, loads.calls(engine.targetId) + 1 - engine.slots);
        const room = (service.engine?.kvTokens ?? Infinity) * usableMemoryFraction;
        const missing = Math.max(0, loads.tokens(engine.targetId) + countTokens(prompt) - room);
        return excess * turnMilliseconds + missing / tokensFreedPerMillisecond;
    };

    const estimateStep = (engine: ListedTarget, demand: PromptDemand, isDeferred: boolean): PlacedStep => {
        const { prompt } = demand;
        const kept = caches.keptTokens(engine.targetId, prompt.parts);
        const isShared = engine.stage === EngineStage.Decode;
        const leastWork = estimatePrefill(prompt.promptTokens, kept, isShared);
        const work = leastWork * paces.factor(engine.targetId);
        const wait = loads.wait(engine.targetId, isDeferred) + placeWait(engine, demand);
        return { target: engine, work, wait, leastWork };
    };

    const strayCost = (step: PlacedStep, home: string | undefined, milliseconds: number) =>
        home !== undefined && step.target.targetId !== home ? milliseconds : 0;

    const pauseCost = ({ prompt, service }: PromptDemand, engine: ListedTarget) => {
        const hasPauses = prompt.expectedOutputTokens > (service.engine?.tokensPerEvent ?? 1);
        const reading = loads.wait(engine.targetId, true) * pauseFactor;
        return hasPauses && isOn(Mechanism.PauseForecast) ? Math.min(mostPauseMilliseconds, reading) : 0;
    };

    const placeSplit = (
        demand: PromptDemand,
        traits: EngineTraits,
        engines: EngineGroups,
        isDeferred: boolean,
    ): CostedWay | undefined => {
        const { prompt, bodyBytes } = demand;
        const steps = engines.readers.map(engine => estimateStep(engine, demand, isDeferred));
        const stray = estimatePrefill(sumShared(prompt), 0, false) * strayReadingFraction;
        const readCost = (step: PlacedStep) => costOf(step, bodyBytes) + strayCost(step, engines.readerHome, stray);
        const prefill = findLeast(steps, readCost);
        if (!prefill) {
            return undefined;
        }
        const estimateDecode = (engine: ListedTarget): PlacedStep => {
            const keptTokens = caches.keptTokens(engine.targetId, prompt.parts);
            const transfer = estimateTransfer(
                prompt.promptTokens - keptTokens,
                traits.bytesPerToken,
                traits.linkMegabits,
                engine.availabilityZone !== prefill.target.availabilityZone,
            );
            // Prompts read there delay the answer's first step by a chunk, not by the whole queue.
            const chunk = Math.min(loads.wait(engine.targetId, isDeferred), chunkMilliseconds);
            return { target: engine, work: 0, leastWork: 0, wait: placeWait(engine, demand) + chunk + transfer };
        };
        const decodeCost = (step: PlacedStep) => {
            const pause = pauseCost(demand, step.target);
            return step.wait * scatter() + zoneCost(step.target, bodyBytes) + pause
                + strayCost(step, engines.decoderHome, strayDecodingMilliseconds);
        };
        const decode = findLeast(engines.decoders.map(estimateDecode), decodeCost);
        if (!decode) {
            return undefined;
        }
        const cost = readCost(prefill) + decodeCost(decode) + hopMilliseconds;
        return { prefill, decode, ...forecastEvent([prefill, decode]), reading: prefill.work, isDeferred, cost };
    };

    /**
     * A prompt that is read between the steps of a batch holds up all its answers. Where other engines only read, it goes
     * there unless every answer still keeps its pauses.
     */
    const bearsReading = ({ pauseAim, service }: PromptDemand, { target, work }: PlacedStep) => {
        const reading = loads.wait(target.targetId, true) + work;
        return eventPace.interval(service.name) + reading * pauseReserve <= pauseAim || !isOn(Mechanism.PauseForecast);
    };

    const placeWhole = (demand: PromptDemand, engines: EngineGroups, isDeferred: boolean): CostedWay | undefined => {
        const { bodyBytes } = demand;
        const hasReaders = engines.readers.length > 0;
        const decoders = hasReaders && !isOn(Mechanism.ReadingAtDecoders) ? [] : engines.decoders;
        const all = decoders.map(engine => estimateStep(engine, demand, isDeferred));
        const steps = hasReaders ? all.filter(step => bearsReading(demand, step)) : all;
        const cost = (step: PlacedStep) =>
            costOf(step, bodyBytes) + pauseCost(demand, step.target)
            + engines.decoders.indexOf(step.target) * readingOrderMilliseconds;
        const decode = findLeast(steps, cost);
        return decode && {
            decode,
            ...forecastEvent([decode]),
            reading: decode.target.stage === EngineStage.Decode ? decode.work / sharedEngineFactor : decode.work,
            isDeferred,
            cost: cost(decode),
        };
    };

    const findCheapest = (demand: PromptDemand, engines: EngineGroups, isDeferred: boolean) => {
        const { engine: traits } = demand.service;
        const whole = placeWhole(demand, engines, isDeferred);
        const split = traits && !demand.isWholeOnly ? placeSplit(demand, traits, engines, isDeferred) : undefined;
        return split && (!whole || split.cost < whole.cost) ? split : whole;
    };

    const placePrompt = (demand: PromptDemand): PromptWay | undefined => {
        const usable = listUsable(demand.service.name, demand.avoid);
        const groups = groupEngines(usable, demand.prompt, options.availabilityZone);
        const engines = isOn(Mechanism.Homes) ? groups : { ...groups, readerHome: undefined, decoderHome: undefined };
        const way = findCheapest(demand, engines, false);
        const isLate = way !== undefined && way.firstEvent > demand.aim;
        return isLate && isOn(Mechanism.Deferral) ? findCheapest(demand, engines, true) : way;
    };

    class EstimatedPlacement extends CallPlacement {
        override placePlain = placePlain;
        override placePrompt = placePrompt;
    }
    return new EstimatedPlacement();
}

type CostedWay = PromptWay & { readonly cost: number; };

/** When the first event comes if these steps follow each other. */
function forecastEvent(steps: readonly PlacedStep[]): Pick<PromptWay, "firstEvent" | "soonestEvent"> {
    const wait = steps.reduce((sum, step) => sum + step.wait, hopMilliseconds);
    return {
        firstEvent: steps.reduce((sum, step) => sum + step.work, wait),
        soonestEvent: steps.reduce((sum, step) => sum + step.leastWork, wait),
    };
}

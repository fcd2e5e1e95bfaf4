import type { Random } from "daisyturn-utils";
import { EngineStage, type ListedTarget } from "../../../ports/listedTarget.js";
import { Mechanism } from "../experiments/mechanism.js";
import { createPlainSpeedCost } from "../speeds/createPlainSpeedCost.js";
import type { TargetSpeeds } from "../speeds/createTargetSpeeds.js";
import type { EventIntervals } from "../views/createEventIntervals.js";
import type { TargetLoads } from "../views/createTargetLoads.js";
import type { PlacedStep, PromptRequirements } from "./callPlacement.js";
import type { EngineGroups } from "./groupEngines.js";

/**
 * Cost of a step of one prompt. It is created once per prompt, so that what is equal at all engines is computed once.
 */
export type StepCost = (step: PlacedStep) => number;

/** Cost of a plain call at a target. */
export type PlainCost = (target: ListedTarget) => number;

/** What choosing a target costs the call and all other calls, in milliseconds except for plain targets. */
export interface StepCosts {
    /**
     * Creates the cost of a plain call: milliseconds where speeds of the service's targets are used, and otherwise how full a
     * target is, as a fraction of its slots.
     */
    createPlainCost(service: string): PlainCost;
    /** Creates the cost of prefilling a prompt at an engine that only prefills. */
    createPrefillCost(demand: PromptRequirements, engines: EngineGroups): StepCost;
    /** Creates the cost of decoding a prompt that another engine has prefilled. */
    createDecodeCost(demand: PromptRequirements, engines: EngineGroups): StepCost;
    /** Creates the cost of prefilling and decoding at one engine. */
    createWholeCost(demand: PromptRequirements, engines: EngineGroups): StepCost;
    /** Whether all answers of a decode engine stay within the target pause while it prefills the prompt. */
    meetsPauseAim(step: PlacedStep, demand: PromptRequirements): boolean;
}

/** What {@link createStepCosts} needs. */
export interface StepCostsOptions {
    readonly loads: TargetLoads;
    readonly speeds: TargetSpeeds;
    readonly eventIntervals: EventIntervals;
    readonly random: Random;
    readonly availabilityZone: string;
    /** Mechanisms that an experiment switches off. */
    readonly switchedOff: ReadonlySet<Mechanism>;
}

/** Cost of work beyond its own duration, as a fraction of it: work delays all later work at the same engine. */
const externality = 0.8;
/** The same at a decode engine, where a prefill also prolongs the steps of all answers under way. */
const decodeExternality = 2.5;
/** Range of the random factor on costs, which keeps processes with the same data from all choosing the same target. */
const jitterRange = 0.15;
/**
 * Traffic between availability zones is charged, so a target in another zone costs a fixed number of milliseconds more,
 * and another number for each kilobyte sent.
 */
const otherZoneMilliseconds = 8;
const otherZoneMillisecondsPerKilobyte = 1.2;
const bytesPerKilobyte = 1_024;
/** A plain target in another availability zone is chosen only if it is emptier by this fraction of its slots. */
const otherZonePenalty = 0.35;
/**
 * Cost of a prefill at another engine than the preferred one, as a fraction of the time to prefill or fetch the shared
 * prefix there. The cache of the preferred engine serves all prompts with this prefix; a second copy evicts other
 * prefixes.
 */
const otherEnginePrefillFraction = 0.5;
/**
 * The same for decoding. The preferred engine caches what it fetches, and can prefill such prompts if others are full.
 */
const otherEngineDecodeMilliseconds = 70;
/**
 * Prompts that are prefilled between the steps of a batch prolong each step, and with it the pause between two events
 * of an answer. For an answer of several events, a millisecond of such prefill costs this many milliseconds, up to a
 * limit.
 */
const pauseFactor = 2;
const maxPauseCostMilliseconds = 300;
/**
 * Decode engines are preferred for prefill in an order that is the same at all processes, and each costs this much more
 * than the one before. So prefills concentrate at a few of them, and the others keep short steps for answers of several
 * events.
 */
const prefillOrderMilliseconds = 12;
/**
 * Factor on the prefill time in the forecast of a pause: other processes place prompts at the same engine before they
 * receive a report of this one.
 */
const pauseSafetyFactor = 1.5;

/** Creates the costs from the data of one process. */
export function createStepCosts(options: StepCostsOptions): StepCosts {
    const { loads, speeds, eventIntervals, random, availabilityZone, switchedOff } = options;
    const hasZones = !switchedOff.has(Mechanism.ZonePreference);
    const hasPauseForecast = !switchedOff.has(Mechanism.PauseForecast);

    const isPreferredZone = (target: ListedTarget, zone: string) => target.availabilityZone === zone || !hasZones;

    const drawJitter = () => 1 + jitterRange * (random.fraction() - 0.5);

    const zoneCost = (engine: ListedTarget, { bodyBytes, availabilityZone: zone }: PromptRequirements) =>
        isPreferredZone(engine, zone)
            ? 0
            : otherZoneMilliseconds + bodyBytes / bytesPerKilobyte * otherZoneMillisecondsPerKilobyte;

    const externalityOf = (engine: ListedTarget) =>
        engine.stage === EngineStage.Decode ? decodeExternality : externality;

    const workCost = (step: PlacedStep, demand: PromptRequirements) =>
        (step.wait + step.work * (1 + externalityOf(step.target))) * drawJitter() + zoneCost(step.target, demand);

    const isOtherEngine = (step: PlacedStep, preferred: string | undefined) =>
        preferred !== undefined && step.target.targetId !== preferred;

    const pauseCost = ({ prompt, service }: PromptRequirements, engine: ListedTarget) => {
        const hasPauses = prompt.expectedOutputTokens > (service.engine?.tokensPerEvent ?? 1);
        const prefillTime = loads.wait(engine.targetId, true) * pauseFactor;
        return hasPauses && hasPauseForecast ? Math.min(maxPauseCostMilliseconds, prefillTime) : 0;
    };

    const fillCost = (target: ListedTarget) => {
        const fill = (loads.calls(target.targetId) + 1) / Math.max(1, target.slots);
        return fill * drawJitter() + (isPreferredZone(target, availabilityZone) ? 0 : otherZonePenalty);
    };

    const speedCost = createPlainSpeedCost({
        speeds,
        random,
        extra: target => isPreferredZone(target, availabilityZone) ? 0 : otherZoneMilliseconds,
    });

    return {
        createPlainCost: service => speeds.isUsed(service) ? speedCost : fillCost,
        createPrefillCost: (demand, { preferredPrefillEngine }) => step =>
            workCost(step, demand)
            + (isOtherEngine(step, preferredPrefillEngine) ? step.sharedWork * otherEnginePrefillFraction : 0),
        createDecodeCost: (demand, { preferredDecodeEngine }) => step =>
            step.wait * drawJitter() + zoneCost(step.target, demand) + pauseCost(demand, step.target)
            + (isOtherEngine(step, preferredDecodeEngine) ? otherEngineDecodeMilliseconds : 0),
        createWholeCost: (demand, { decodeEngines }) => {
            const positions = new Map(decodeEngines.map((engine, position) => [engine, position]));
            return step =>
                workCost(step, demand) + pauseCost(demand, step.target)
                + (positions.get(step.target) ?? -1) * prefillOrderMilliseconds;
        },
        meetsPauseAim: ({ target, work }, { pauseAim, service }) => {
            const prefillTime = loads.wait(target.targetId, true) + work;
            return eventIntervals.interval(service.name) + prefillTime * pauseSafetyFactor <= pauseAim
                || !hasPauseForecast;
        },
    };
}

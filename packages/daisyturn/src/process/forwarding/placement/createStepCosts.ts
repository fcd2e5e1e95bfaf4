import type { Random } from "daisyturn-utils";
import { EngineStage, type ListedTarget } from "../../../ports/listedTarget.js";
import { Mechanism } from "../experiments/mechanism.js";
import type { EventIntervals } from "../views/createEventIntervals.js";
import type { TargetLoads } from "../views/createTargetLoads.js";
import type { PlacedStep, PromptRequirements } from "./callPlacement.js";
import type { EngineGroups } from "./groupEngines.js";

/** Tells one step of a prompt from another; what is the same at all engines is worked out once. */
export type StepCost = (step: PlacedStep) => number;

/** What taking a target costs the call and all others, in milliseconds but for plain targets. */
export interface StepCosts {
    /** How full a plain target is, in parts of its slots. */
    plain(target: ListedTarget): number;
    /** Of reading a prompt at an engine that only reads. */
    ofReading(demand: PromptRequirements, engines: EngineGroups): StepCost;
    /** Of decoding what another engine has read. */
    ofDecoding(demand: PromptRequirements, engines: EngineGroups): StepCost;
    /** Of reading and decoding at one engine. */
    ofBoth(demand: PromptRequirements, engines: EngineGroups): StepCost;
    /** Whether all answers of a decoding engine keep their pauses while it reads the prompt. */
    bearsReading(step: PlacedStep, demand: PromptRequirements): boolean;
}

/** What {@link createStepCosts} needs. */
export interface StepCostsOptions {
    readonly loads: TargetLoads;
    readonly eventIntervals: EventIntervals;
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
 * Reading elsewhere than at the home of a prompt's beginning counts as so much later, in parts of the time to read or fetch
 * the beginning there: what the home keeps serves all that begin alike, and a second copy pushes out what others begin with.
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

/** Creates the costs as one process sees them. */
export function createStepCosts(options: StepCostsOptions): StepCosts {
    const { loads, eventIntervals, random, availabilityZone, switchedOff } = options;
    const hasZones = !switchedOff.has(Mechanism.ZonePreference);
    const hasPauseForecast = !switchedOff.has(Mechanism.PauseForecast);

    const isNear = (target: ListedTarget, zone: string) => target.availabilityZone === zone || !hasZones;

    const scatter = () => 1 + spread * (random.fraction() - 0.5);

    const zoneCost = (engine: ListedTarget, { bodyBytes, availabilityZone: zone }: PromptRequirements) =>
        isNear(engine, zone)
            ? 0
            : otherZoneMilliseconds + bodyBytes / bytesPerKilobyte * otherZoneMillisecondsPerKilobyte;

    const externalityOf = (engine: ListedTarget) =>
        engine.stage === EngineStage.Decode ? decodingExternality : externality;

    const workCost = (step: PlacedStep, demand: PromptRequirements) =>
        (step.wait + step.work * (1 + externalityOf(step.target))) * scatter() + zoneCost(step.target, demand);

    const isStray = (step: PlacedStep, home: string | undefined) => home !== undefined && step.target.targetId !== home;

    const pauseCost = ({ prompt, service }: PromptRequirements, engine: ListedTarget) => {
        const hasPauses = prompt.expectedOutputTokens > (service.engine?.tokensPerEvent ?? 1);
        const reading = loads.wait(engine.targetId, true) * pauseFactor;
        return hasPauses && hasPauseForecast ? Math.min(mostPauseMilliseconds, reading) : 0;
    };

    return {
        plain: target => {
            const fill = (loads.calls(target.targetId) + 1) / Math.max(1, target.slots);
            return fill * scatter() + (isNear(target, availabilityZone) ? 0 : otherZonePenalty);
        },
        ofReading: (demand, { readerHome }) => step =>
            workCost(step, demand) + (isStray(step, readerHome) ? step.sharedWork * strayReadingFraction : 0),
        ofDecoding: (demand, { decoderHome }) => step =>
            step.wait * scatter() + zoneCost(step.target, demand) + pauseCost(demand, step.target)
            + (isStray(step, decoderHome) ? strayDecodingMilliseconds : 0),
        ofBoth: (demand, { decoders }) => step =>
            workCost(step, demand) + pauseCost(demand, step.target)
            + decoders.indexOf(step.target) * readingOrderMilliseconds,
        bearsReading: ({ target, work }, { pauseAim, service }) => {
            const reading = loads.wait(target.targetId, true) + work;
            return eventIntervals.interval(service.name) + reading * pauseReserve <= pauseAim || !hasPauseForecast;
        },
    };
}

import type { Random } from "daisyturn-utils";
import { EngineStage, type ListedTarget } from "../../../ports/listedTarget.js";
import type { EngineTraits } from "../../../version/forwarding/forwardingConfiguration.js";
import { Mechanism } from "../experiments/mechanism.js";
import type { TargetViews } from "../views/createTargetViews.js";
import { CallPlacement, type PlacedStep, type PromptPlacement, type PromptRequirements } from "./callPlacement.js";
import { createStepCosts } from "./createStepCosts.js";
import { createStepEstimates, type StepEstimates } from "./createStepEstimates.js";
import { sharedEngineFactor } from "./estimatePrefill.js";
import { findLeast } from "./findLeast.js";
import { type EngineGroups, groupEngines } from "./groupEngines.js";

/** What {@link createCallPlacement} needs. */
export interface CallPlacementOptions extends TargetViews {
    readonly random: Random;
    /** Where the process stands; plain calls go out from there. */
    readonly availabilityZone: string;
    /** What an experiment takes out. */
    readonly switchedOff: ReadonlySet<Mechanism>;
}

/** One hop to an engine and back, with the engine's step, in milliseconds. */
const hopMilliseconds = 8;

/**
 * Creates the placement policy of one process: the way that is the soonest, with regard to what it costs others. A call
 * that can't be on time by any way is deferred: with all in one queue, an overload makes every answer late, while so
 * only those are that exceed what the engines can do.
 */
export function createCallPlacement(options: CallPlacementOptions): CallPlacement {
    const { targets, health, closed, switchedOff } = options;
    const isOn = (mechanism: Mechanism) => !switchedOff.has(mechanism);
    const costs = createStepCosts(options);

    const listOpen = (service: string) => targets.open(service).filter(target => !closed.isClosed(target.targetId));

    const listUsable = (service: string, avoid: ReadonlySet<string>): readonly ListedTarget[] => {
        const trusted = health.selectTrusted(listOpen(service));
        const untried = trusted.filter(target => !avoid.has(target.targetId));
        return untried.length > 0 ? untried : listOpen(service).filter(target => !avoid.has(target.targetId));
    };

    const placeSplit = (
        { demand, engines, estimates }: PromptCase,
        traits: EngineTraits,
        isDeferred: boolean,
    ): CostedWay | undefined => {
        const readCost = costs.ofReading(demand, engines);
        const decodeCost = costs.ofDecoding(demand, engines);
        const reads = engines.readers.map(engine => estimates.read(engine, isDeferred));
        const prefill = findLeast(reads, readCost);
        if (!prefill) {
            return undefined;
        }
        const decodes = engines.decoders.map(engine => estimates.decode(engine, prefill.target, traits, isDeferred));
        const decode = findLeast(decodes, decodeCost);
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
    const listBearing = ({ demand, engines, estimates }: PromptCase, isDeferred: boolean) => {
        const steps = engines.decoders.map(engine => estimates.read(engine, isDeferred));
        if (engines.readers.length === 0) {
            return steps;
        }
        return isOn(Mechanism.ReadingAtDecoders) ? steps.filter(step => costs.bearsReading(step, demand)) : [];
    };

    const placeWhole = (promptCase: PromptCase, isDeferred: boolean): CostedWay | undefined => {
        const cost = costs.ofBoth(promptCase.demand, promptCase.engines);
        const decode = findLeast(listBearing(promptCase, isDeferred), cost);
        return decode && {
            decode,
            ...forecastEvent([decode]),
            reading: decode.target.stage === EngineStage.Decode ? decode.work / sharedEngineFactor : decode.work,
            isDeferred,
            cost: cost(decode),
        };
    };

    const findCheapest = (promptCase: PromptCase, isDeferred: boolean) => {
        const { service: { engine: traits }, isWholeOnly } = promptCase.demand;
        const whole = placeWhole(promptCase, isDeferred);
        const split = traits && !isWholeOnly ? placeSplit(promptCase, traits, isDeferred) : undefined;
        return split && (!whole || split.cost < whole.cost) ? split : whole;
    };

    const placePrompt = (demand: PromptRequirements): PromptPlacement | undefined => {
        const usable = listUsable(demand.service.name, demand.avoid);
        const groups = groupEngines(usable, demand.prompt, demand.availabilityZone);
        const engines = isOn(Mechanism.Homes) ? groups : { ...groups, readerHome: undefined, decoderHome: undefined };
        const promptCase = { demand, engines, estimates: createStepEstimates(options, demand, usable) };
        const way = findCheapest(promptCase, false);
        const isLate = way !== undefined && way.firstEvent > demand.aim;
        return isLate && demand.mayDefer && isOn(Mechanism.Deferral) ? findCheapest(promptCase, true) : way;
    };

    class EstimatedPlacement extends CallPlacement {
        override placePlain(service: string, avoid: ReadonlySet<string>): ListedTarget | undefined {
            return findLeast(listUsable(service, avoid), costs.plain);
        }

        override placePrompt = placePrompt;
    }
    return new EstimatedPlacement();
}

/** One prompt before the engines that it may go to. */
interface PromptCase {
    readonly demand: PromptRequirements;
    readonly engines: EngineGroups;
    readonly estimates: StepEstimates;
}

type CostedWay = PromptPlacement & { readonly cost: number; };

/** When the first event comes if these steps follow each other. */
function forecastEvent(steps: readonly PlacedStep[]): Pick<PromptPlacement, "firstEvent" | "soonestEvent"> {
    const wait = steps.reduce((sum, step) => sum + step.wait, hopMilliseconds);
    return {
        firstEvent: steps.reduce((sum, step) => sum + step.work, wait),
        soonestEvent: steps.reduce((sum, step) => sum + step.leastWork, wait),
    };
}

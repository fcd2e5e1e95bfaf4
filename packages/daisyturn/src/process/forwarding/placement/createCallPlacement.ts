import type { Random } from "daisyturn-utils";
import { EngineStage, type ListedTarget } from "../../../ports/listedTarget.js";
import type { EngineTraits } from "../../../version/forwarding/forwardingConfiguration.js";
import { Mechanism } from "../experiments/mechanism.js";
import type { TargetViews } from "../views/createTargetViews.js";
import {
    CallPlacement,
    type PlacedStep,
    type PromptPlacement,
    type PromptRequirements,
    type TargetRestriction,
} from "./callPlacement.js";
import { createStepCosts } from "./createStepCosts.js";
import { createStepEstimates, type StepEstimates } from "./createStepEstimates.js";
import { decodeEngineFactor } from "./estimatePrefill.js";
import { findMinBy } from "./findMinBy.js";
import { type EngineGroups, groupEngines } from "./groupEngines.js";
import { groupByVersion, listUsableTargets } from "./listUsableTargets.js";

/** What {@link createCallPlacement} needs. */
export interface CallPlacementOptions extends TargetViews {
    readonly random: Random;
    /** Availability zone of the process, which sends the plain calls. */
    readonly availabilityZone: string;
    /** Mechanisms that an experiment switches off. */
    readonly switchedOff: ReadonlySet<Mechanism>;
}

const unrestricted: TargetRestriction = { avoid: new Set() };
/** Round trip to an engine, with the engine's step. */
const hopMilliseconds = 8;

/**
 * Creates the placement policy of one process. It chooses the placement with the earliest first event, with regard to
 * its cost for other calls. A call that can't be on time with any placement is deferred. With all calls in one queue,
 * an overload would make every answer late; with deferral, only the answers that exceed the engines' capacity are late.
 */
export function createCallPlacement(options: CallPlacementOptions): CallPlacement {
    const { health, switchedOff } = options;
    const isOn = (mechanism: Mechanism) => !switchedOff.has(mechanism);
    const costs = createStepCosts(options);

    /** Lists trusted targets, or all usable ones if none is trusted. */
    const listPreferred = (service: string, restriction: TargetRestriction): readonly ListedTarget[] => {
        const all = listUsableTargets(options, service, unrestricted);
        const trusted = new Set(health.selectTrusted(all));
        const isRestricted = restriction.avoid.size > 0 || restriction.softwareVersion !== undefined;
        const usable = isRestricted ? listUsableTargets(options, service, restriction) : all;
        const preferred = usable.filter(target => trusted.has(target));
        return preferred.length > 0 ? preferred : usable;
    };

    const placeSplit = (
        { demand, engines, estimates }: PromptCase,
        traits: EngineTraits,
        isDeferred: boolean,
    ): CostedPlacement | undefined => {
        const prefillCost = costs.createPrefillCost(demand, engines);
        const decodeCost = costs.createDecodeCost(demand, engines);
        const prefillSteps = engines.prefillEngines.map(engine => estimates.prefill(engine, isDeferred));
        const prefill = findMinBy(prefillSteps, prefillCost);
        if (!prefill) {
            return undefined;
        }
        const decodeSteps = engines.decodeEngines.map(engine =>
            estimates.decode(engine, prefill.target, traits, isDeferred)
        );
        const decode = findMinBy(decodeSteps, decodeCost);
        if (!decode) {
            return undefined;
        }
        const cost = prefillCost(prefill) + decodeCost(decode) + hopMilliseconds;
        return {
            prefill,
            decode,
            ...forecastFirstEvent([prefill, decode]),
            prefillMilliseconds: prefill.work,
            isDeferred,
            cost,
        };
    };

    /**
     * A prefill between the steps of a batch delays all answers of the batch. If there are engines that only prefill, a
     * decode engine prefills a prompt only if all its answers stay within the target pause.
     */
    const listWholeSteps = ({ demand, engines, estimates }: PromptCase, isDeferred: boolean) => {
        const steps = engines.decodeEngines.map(engine => estimates.prefill(engine, isDeferred));
        if (engines.prefillEngines.length === 0) {
            return steps;
        }
        return isOn(Mechanism.ReadingAtDecoders) ? steps.filter(step => costs.meetsPauseAim(step, demand)) : [];
    };

    const placeWhole = (promptCase: PromptCase, isDeferred: boolean): CostedPlacement | undefined => {
        const cost = costs.createWholeCost(promptCase.demand, promptCase.engines);
        const decode = findMinBy(listWholeSteps(promptCase, isDeferred), cost);
        return decode && {
            decode,
            ...forecastFirstEvent([decode]),
            prefillMilliseconds: decode.target.stage === EngineStage.Decode
                ? decode.work / decodeEngineFactor
                : decode.work,
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

    const createPromptCase = (demand: PromptRequirements, usable: readonly ListedTarget[]): PromptCase => {
        const groups = groupEngines(usable, demand.prompt, demand.availabilityZone);
        const engines = isOn(Mechanism.Homes)
            ? groups
            : { ...groups, preferredPrefillEngine: undefined, preferredDecodeEngine: undefined };
        return { demand, engines, estimates: createStepEstimates(options, demand, usable) };
    };

    const placePrompt = (demand: PromptRequirements): PromptPlacement | undefined => {
        const promptCases = groupByVersion(listPreferred(demand.service.name, demand))
            .map(usable => createPromptCase(demand, usable));
        const findCheapestOf = (isDeferred: boolean) =>
            findMinBy(
                promptCases.flatMap(promptCase => findCheapest(promptCase, isDeferred) ?? []),
                placement => placement.cost,
            );
        const undeferred = findCheapestOf(false);
        const isLate = undeferred !== undefined && undeferred.firstEvent > demand.aim;
        return isLate && demand.mayDefer && isOn(Mechanism.Deferral) ? findCheapestOf(true) : undeferred;
    };

    class EstimatedPlacement extends CallPlacement {
        override placePlain(service: string, restriction: TargetRestriction): ListedTarget | undefined {
            return findMinBy(listPreferred(service, restriction), costs.createPlainCost(service));
        }

        override placePrompt = placePrompt;
    }
    return new EstimatedPlacement();
}

/** A prompt with the engines of one software version that may serve it. */
interface PromptCase {
    readonly demand: PromptRequirements;
    readonly engines: EngineGroups;
    readonly estimates: StepEstimates;
}

type CostedPlacement = PromptPlacement & { readonly cost: number; };

/** Milliseconds to the first event if these steps follow each other. */
function forecastFirstEvent(steps: readonly PlacedStep[]): Pick<PromptPlacement, "firstEvent" | "soonestEvent"> {
    const wait = steps.reduce((sum, step) => sum + step.wait, hopMilliseconds);
    return {
        firstEvent: steps.reduce((sum, step) => sum + step.work, wait),
        soonestEvent: steps.reduce((sum, step) => sum + step.leastWork, wait),
    };
}

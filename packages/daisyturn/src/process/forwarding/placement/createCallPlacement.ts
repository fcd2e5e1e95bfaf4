import type { Random } from "daisyturn-utils";
import { EngineStage, type ListedTarget } from "../../../ports/listedTarget.js";
import type { EngineTraits } from "../../../version/forwarding/forwardingConfiguration.js";
import { Mechanism } from "../experiments/mechanism.js";
import type { TargetViews } from "../views/createTargetViews.js";
import { CallPlacement, type PlacedStep, type PromptPlacement, type PromptRequirements } from "./callPlacement.js";
import { createStepCosts } from "./createStepCosts.js";
import { createStepEstimates, type StepEstimates } from "./createStepEstimates.js";
import { decodeEngineFactor } from "./estimatePrefill.js";
import { findMinBy } from "./findMinBy.js";
import { type EngineGroups, groupEngines } from "./groupEngines.js";

/** What {@link createCallPlacement} needs. */
export interface CallPlacementOptions extends TargetViews {
    readonly random: Random;
    /** Availability zone of the process, which sends the plain calls. */
    readonly availabilityZone: string;
    /** Mechanisms that an experiment switches off. */
    readonly switchedOff: ReadonlySet<Mechanism>;
}

/** Round trip to an engine, with the engine's step. */
const hopMilliseconds = 8;

/**
 * Creates the placement policy of one process. It chooses the placement with the earliest first event, with regard to
 * its cost for other calls. A call that can't be on time with any placement is deferred. With all calls in one queue,
 * an overload would make every answer late; with deferral, only the answers that exceed the engines' capacity are late.
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

    const placePrompt = (demand: PromptRequirements): PromptPlacement | undefined => {
        const usable = listUsable(demand.service.name, demand.avoid);
        const groups = groupEngines(usable, demand.prompt, demand.availabilityZone);
        const engines = isOn(Mechanism.Homes)
            ? groups
            : { ...groups, preferredPrefillEngine: undefined, preferredDecodeEngine: undefined };
        const promptCase = { demand, engines, estimates: createStepEstimates(options, demand, usable) };
        const undeferred = findCheapest(promptCase, false);
        const isLate = undeferred !== undefined && undeferred.firstEvent > demand.aim;
        return isLate && demand.mayDefer && isOn(Mechanism.Deferral) ? findCheapest(promptCase, true) : undeferred;
    };

    class EstimatedPlacement extends CallPlacement {
        override placePlain(service: string, avoid: ReadonlySet<string>): ListedTarget | undefined {
            return findMinBy(listUsable(service, avoid), costs.plain);
        }

        override placePrompt = placePrompt;
    }
    return new EstimatedPlacement();
}

/** A prompt with the engines that may serve it. */
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

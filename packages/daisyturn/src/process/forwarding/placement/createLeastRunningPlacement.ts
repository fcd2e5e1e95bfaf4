import type { PromptDescription } from "../../../ports/forwardedCall.js";
import { EngineStage, type ListedTarget } from "../../../ports/listedTarget.js";
import type { TargetAvailability } from "../targets/createTargetAvailability.js";
import type { TargetContinuity } from "../targets/createTargetContinuity.js";
import type { TargetList } from "../targets/createTargetList.js";
import type { TargetLoads } from "../views/createTargetLoads.js";
import {
    CallPlacement,
    type PlacedStep,
    type PromptPlacement,
    type PromptRequirements,
    type TargetRestriction,
} from "./callPlacement.js";
import { findMinBy } from "./findMinBy.js";
import { groupEngines } from "./groupEngines.js";
import { listUsableTargets } from "./listUsableTargets.js";

/** What {@link createLeastRunningPlacement} needs. */
export interface LeastRunningPlacementOptions {
    readonly targets: TargetList;
    readonly loads: TargetLoads;
    readonly availability: TargetAvailability;
    readonly continuity: TargetContinuity;
}

/** Shorter prompts are prefilled where they are decoded: moving their KV cache takes as long as prefilling them. */
const minSplitTokens = 2_000;
/** The preferred engine is used while it runs at most this many calls more than the least busy engine. */
const maxExtraCalls = 8;

/**
 * Creates the baseline policy to which the estimating policy is compared. It chooses the target with the fewest running
 * calls and prefills long prompts at the preferred engine of their prefix. It makes no estimates, does not know caches
 * and defers no call.
 */
export function createLeastRunningPlacement(options: LeastRunningPlacementOptions): CallPlacement {
    const { loads } = options;
    const callsAt = (target: ListedTarget) => loads.calls(target.targetId);

    const findPrefillEngine = (
        engines: readonly ListedTarget[],
        prompt: PromptDescription,
        availabilityZone: string,
    ) => {
        const { prefillEngines, preferredPrefillEngine } = groupEngines(engines, prompt, availabilityZone);
        const leastBusy = findMinBy(prefillEngines, callsAt);
        const preferred = prefillEngines.find(engine => engine.targetId === preferredPrefillEngine);
        return preferred && leastBusy && callsAt(preferred) <= callsAt(leastBusy) + maxExtraCalls
            ? preferred
            : leastBusy;
    };

    class LeastRunningPlacement extends CallPlacement {
        override placePlain(service: string, restriction: TargetRestriction): ListedTarget | undefined {
            return findMinBy(listUsableTargets(options, service, restriction), callsAt);
        }

        override placePrompt(demand: PromptRequirements): PromptPlacement | undefined {
            const { service, prompt, isWholeOnly, availabilityZone } = demand;
            const engines = listUsableTargets(options, service.name, demand);
            const decode = findMinBy(engines.filter(engine => engine.stage !== EngineStage.Prefill), callsAt);
            const isSplit = !isWholeOnly && prompt.promptTokens > minSplitTokens;
            const sameVersion = engines.filter(engine => engine.softwareVersion === decode?.softwareVersion);
            const prefill = isSplit ? findPrefillEngine(sameVersion, prompt, availabilityZone) : undefined;
            return decode && {
                decode: createStep(decode),
                prefill: prefill && createStep(prefill),
                firstEvent: 0,
                soonestEvent: 0,
                prefillMilliseconds: 0,
                isDeferred: false,
            };
        }
    }
    return new LeastRunningPlacement();
}

function createStep(target: ListedTarget): PlacedStep {
    return { target, work: 0, leastWork: 0, keptTokens: 0, sharedWork: 0, wait: 0 };
}

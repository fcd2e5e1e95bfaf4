import type { PromptDescription } from "../../../ports/forwardedCall.js";
import { EngineStage, type ListedTarget } from "../../../ports/listedTarget.js";
import type { ClosedTargets } from "../targets/createClosedTargets.js";
import type { TargetList } from "../targets/createTargetList.js";
import type { TargetLoads } from "../views/createTargetLoads.js";
import { CallPlacement, type PlacedStep, type PromptPlacement, type PromptRequirements } from "./callPlacement.js";
import { findMinBy } from "./findMinBy.js";
import { groupEngines } from "./groupEngines.js";

/** What {@link createLeastRunningPlacement} needs. */
export interface LeastRunningPlacementOptions {
    readonly targets: TargetList;
    readonly loads: TargetLoads;
    readonly closed: ClosedTargets;
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
    const { targets, loads, closed } = options;
    const callsAt = (target: ListedTarget) => loads.calls(target.targetId);

    const listUsable = (service: string, avoid: ReadonlySet<string>) =>
        targets.open(service).filter(target => !closed.isClosed(target.targetId) && !avoid.has(target.targetId));

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
        override placePlain(service: string, avoid: ReadonlySet<string>): ListedTarget | undefined {
            return findMinBy(listUsable(service, avoid), callsAt);
        }

        override placePrompt(demand: PromptRequirements): PromptPlacement | undefined {
            const { service, prompt, avoid, isWholeOnly, availabilityZone } = demand;
            const engines = listUsable(service.name, avoid);
            const decode = findMinBy(engines.filter(engine => engine.stage !== EngineStage.Prefill), callsAt);
            const isSplit = !isWholeOnly && prompt.promptTokens > minSplitTokens;
            const prefill = isSplit ? findPrefillEngine(engines, prompt, availabilityZone) : undefined;
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

import type { PromptDescription } from "../../../ports/forwardedCall.js";
import { EngineStage, type ListedTarget } from "../../../ports/listedTarget.js";
import type { ClosedTargets } from "../targets/createClosedTargets.js";
import type { TargetList } from "../targets/createTargetList.js";
import type { TargetLoads } from "../views/createTargetLoads.js";
import { CallPlacement, type PlacedStep, type PromptPlacement, type PromptRequirements } from "./callPlacement.js";
import { findLeast } from "./findLeast.js";
import { groupEngines } from "./groupEngines.js";

/** What {@link createLeastRunningPlacement} needs. */
export interface LeastRunningPlacementOptions {
    readonly targets: TargetList;
    readonly loads: TargetLoads;
    readonly closed: ClosedTargets;
}

/** Shorter prompts are read where they are decoded: moving their cache takes as long as reading them. */
const leastSplitTokens = 2_000;
/** The home of a prompt's beginning is left once so many more calls run there than at the least busy engine. */
const homeBound = 8;

/**
 * Creates the plain policy that the estimating one is measured against: the target with the least running calls, long
 * prompts read apart at the home of their beginning. It estimates nothing, knows no caches and defers no call.
 */
export function createLeastRunningPlacement(options: LeastRunningPlacementOptions): CallPlacement {
    const { targets, loads, closed } = options;
    const callsAt = (target: ListedTarget) => loads.calls(target.targetId);

    const listUsable = (service: string, avoid: ReadonlySet<string>) =>
        targets.open(service).filter(target => !closed.isClosed(target.targetId) && !avoid.has(target.targetId));

    const findReader = (engines: readonly ListedTarget[], prompt: PromptDescription, availabilityZone: string) => {
        const { readers, readerHome } = groupEngines(engines, prompt, availabilityZone);
        const least = findLeast(readers, callsAt);
        const home = readers.find(reader => reader.targetId === readerHome);
        return home && least && callsAt(home) <= callsAt(least) + homeBound ? home : least;
    };

    class LeastRunningPlacement extends CallPlacement {
        override placePlain(service: string, avoid: ReadonlySet<string>): ListedTarget | undefined {
            return findLeast(listUsable(service, avoid), callsAt);
        }

        override placePrompt(demand: PromptRequirements): PromptPlacement | undefined {
            const { service, prompt, avoid, isWholeOnly, availabilityZone } = demand;
            const engines = listUsable(service.name, avoid);
            const decode = findLeast(engines.filter(engine => engine.stage !== EngineStage.Prefill), callsAt);
            const isSplit = !isWholeOnly && prompt.promptTokens > leastSplitTokens;
            const reader = isSplit ? findReader(engines, prompt, availabilityZone) : undefined;
            return decode && {
                decode: createStep(decode),
                prefill: reader && createStep(reader),
                firstEvent: 0,
                soonestEvent: 0,
                reading: 0,
                isDeferred: false,
            };
        }
    }
    return new LeastRunningPlacement();
}

function createStep(target: ListedTarget): PlacedStep {
    return { target, work: 0, leastWork: 0, keptTokens: 0, sharedWork: 0, wait: 0 };
}

import { EngineStage, type ListedTarget } from "../../../ports/listedTarget.js";
import type { CacheEstimates } from "../views/createCacheEstimates.js";
import type { PrefillDemand } from "../views/createPrefillDemand.js";
import type { TargetLoads } from "../views/createTargetLoads.js";
import type { KnownWork } from "./orderEnginesOptions.js";

/** What {@link measureWork} needs. */
export interface WorkSources {
    readonly leastDemand: Pick<PrefillDemand, "engines">;
    readonly firstReads: Pick<PrefillDemand, "engines">;
    readonly loads: Pick<TargetLoads, "calls" | "tokens">;
    readonly caches: Pick<CacheEstimates, "sharedTokens">;
}

/** Part of an engine's KV cache that is left for shared parts beside the prompts that it prefills. */
const sharedPart = 0.6;

/**
 * Measures the work of a service at all its engines, leaving or not, in engines that it would keep fully busy.
 * @param kvTokens KV cache capacity of one engine, in tokens; 0 if it is not known
 */
export function measureWork(
    service: string,
    engines: readonly ListedTarget[],
    kvTokens: number,
    { leastDemand, firstReads, loads, caches }: WorkSources,
): KnownWork {
    const readers = engines.filter(({ stage }) => stage === EngineStage.Prefill);
    const decoders = engines.filter(({ stage }) => stage !== EngineStage.Prefill);
    let slotsUsed = 0;
    let tokens = 0;
    for (const { targetId, slots } of decoders) {
        slotsUsed += loads.calls(targetId) / slots;
        tokens += loads.tokens(targetId);
    }
    const openReaders = readers.filter(({ isLeaving }) => !isLeaving).length;
    const countCacheEngines = () => {
        // Engines are kept for their caches, not ordered for them.
        const shared = caches.sharedTokens(readers.map(({ targetId }) => targetId));
        return Math.min(openReaders, Math.ceil(shared / (kvTokens * sharedPart)));
    };
    return {
        prefill: leastDemand.engines(service),
        firstReads: firstReads.engines(service),
        decode: Math.max(slotsUsed, kvTokens > 0 ? tokens / kvTokens : 0),
        countCacheEngines: () => kvTokens > 0 ? countCacheEngines() : 0,
    };
}

import { EngineStage, type ListedTarget } from "../../../ports/listedTarget.js";
import type { EngineTraits } from "../../../version/forwarding/forwardingConfiguration.js";
import { Mechanism } from "../experiments/mechanism.js";
import type { CacheEstimates } from "../views/createCacheEstimates.js";
import type { PrefillRates } from "../views/createPrefillRates.js";
import type { SlowdownEstimates } from "../views/createSlowdownEstimates.js";
import type { TargetLoads } from "../views/createTargetLoads.js";
import { countTokens, type PlacedStep, type PromptRequirements } from "./callPlacement.js";
import { estimatePrefill, estimateTransfer } from "./estimatePrefill.js";
import { findPrefixSources, type PrefixSource } from "./findPrefixSources.js";
import { countSharedTokens } from "./groupEngines.js";

/** Estimates the waiting and the work of one prompt at an engine. */
export interface StepEstimates {
    /** Estimates the prefill of the prompt, with a fetch of a prefix if this is faster. */
    prefill(engine: ListedTarget, isDeferred: boolean): PlacedStep;
    /** Estimates decoding after the prefill at another engine. */
    decode(engine: ListedTarget, prefillEngine: ListedTarget, traits: EngineTraits, isDeferred: boolean): PlacedStep;
}

/** What {@link createStepEstimates} needs. */
export interface StepEstimatesOptions {
    readonly loads: TargetLoads;
    readonly caches: CacheEstimates;
    readonly slowdowns: SlowdownEstimates;
    readonly prefillRates: PrefillRates;
    /** Mechanisms that an experiment switches off. */
    readonly switchedOff: ReadonlySet<Mechanism>;
}

/** Time to prefill a chunk of a prompt between two steps of a batch. */
const chunkMilliseconds = 20;
/** A slot of a full batch becomes free about this often. */
const slotReleaseMilliseconds = 8;
/** Tokens of KV cache that ending calls free per millisecond once the memory is full. */
const tokensFreedPerMillisecond = 150;
/** The rest of the memory is left free: an engine requeues a call that outgrows its memory and prefills it again. */
const usableMemoryFraction = 0.85;

/** Creates the estimates for one prompt at the engines of its service, from the data of one process. */
export function createStepEstimates(
    { loads, caches, slowdowns, prefillRates, switchedOff }: StepEstimatesOptions,
    demand: PromptRequirements,
    engines: readonly ListedTarget[],
): StepEstimates {
    const { prompt, service } = demand;
    const cachedTokens = new Map(
        engines.map(({ targetId }) => [targetId, caches.keptTokens(targetId, prompt.parts)] as const),
    );
    const cachedTokensAt = ({ targetId }: ListedTarget) => cachedTokens.get(targetId) ?? 0;
    const rate = prefillRates.rate(service.name);
    const sharedPrefillTime = estimatePrefill(rate, countSharedTokens(prompt), 0, false);
    const mayFetch = service.engine !== undefined && !switchedOff.has(Mechanism.KvFetch);
    const sources = mayFetch ? findPrefixSources(engines, cachedTokensAt) : [];

    /** Milliseconds until other calls end and free a slot and memory, if the batch or the memory is full. */
    const capacityWait = (engine: ListedTarget) => {
        const excess = Math.max(0, loads.calls(engine.targetId) + 1 - engine.slots);
        const usableTokens = (service.engine?.kvTokens ?? Infinity) * usableMemoryFraction;
        const missingTokens = Math.max(0, loads.tokens(engine.targetId) + countTokens(prompt) - usableTokens);
        return excess * slotReleaseMilliseconds + missingTokens / tokensFreedPerMillisecond;
    };

    const transferTime = (tokens: number, from: ListedTarget, to: ListedTarget, traits: EngineTraits) =>
        estimateTransfer(
            tokens,
            traits.bytesPerToken,
            traits.linkMegabits,
            from.availabilityZone !== to.availabilityZone,
        );

    /** Estimates by kept tokens, at engines that only prefill and at others: most engines have cached the same parts. */
    const leastWorks = [new Map<number, number>(), new Map<number, number>()] as const;

    /** Work of the engine to prefill all but the first `keptTokens`, without any slowdown. */
    const estimateLeastWork = ({ stage }: ListedTarget, keptTokens: number) => {
        const isDecodeEngine = stage === EngineStage.Decode;
        const known = leastWorks[isDecodeEngine ? 1 : 0];
        let leastWork = known.get(keptTokens);
        if (leastWork === undefined) {
            leastWork = estimatePrefill(rate, prompt.promptTokens, keptTokens, isDecodeEngine);
            known.set(keptTokens, leastWork);
        }
        return leastWork;
    };

    const fetchTime = (engine: ListedTarget, source: PrefixSource, cached: number) =>
        service.engine ? transferTime(source.tokens - cached, source.engine, engine, service.engine) : 0;

    return {
        // Runs for each engine and prompt, so only the step that is returned becomes an object.
        prefill: (engine, isDeferred) => {
            const queueWait = loads.wait(engine.targetId, isDeferred) + capacityWait(engine);
            const cached = cachedTokensAt(engine);
            const slowdown = slowdowns.factor(engine.targetId);
            const costOf = (wait: number, keptTokens: number) =>
                wait + estimateLeastWork(engine, keptTokens) * slowdown;
            let leastCost = costOf(queueWait, cached);
            let best: PrefixSource | undefined;
            for (const source of sources) {
                if (source.tokens > cached) {
                    const cost = costOf(Math.max(queueWait, fetchTime(engine, source, cached)), source.tokens);
                    if (cost < leastCost) {
                        leastCost = cost;
                        best = source;
                    }
                }
            }
            const keptTokens = best?.tokens ?? cached;
            const leastWork = estimateLeastWork(engine, keptTokens);
            const work = leastWork * slowdown;
            if (!best) {
                return { target: engine, keptTokens, leastWork, work, wait: queueWait, sharedWork: sharedPrefillTime };
            }
            const fetch = fetchTime(engine, best, cached);
            const wait = Math.max(queueWait, fetch);
            return { target: engine, keptTokens, leastWork, work, wait, sharedWork: fetch, fetchFrom: best.engine };
        },
        decode: (engine, prefillEngine, traits, isDeferred) => {
            const moved = prompt.promptTokens - cachedTokensAt(engine);
            // Prefills at the decode engine delay the answer's first step by a chunk, not by the whole queue.
            const chunk = Math.min(loads.wait(engine.targetId, isDeferred), chunkMilliseconds);
            const wait = capacityWait(engine) + chunk + transferTime(moved, prefillEngine, engine, traits);
            return { target: engine, work: 0, leastWork: 0, keptTokens: prompt.promptTokens, sharedWork: 0, wait };
        },
    };
}

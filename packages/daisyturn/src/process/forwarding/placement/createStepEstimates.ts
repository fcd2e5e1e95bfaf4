import { EngineStage, type ListedTarget } from "../../../ports/listedTarget.js";
import type { EngineTraits } from "../../../version/forwarding/forwardingConfiguration.js";
import { Mechanism } from "../experiments/mechanism.js";
import type { CacheEstimates } from "../views/createCacheEstimates.js";
import type { PrefillRates } from "../views/createPrefillRates.js";
import type { SlowdownEstimates } from "../views/createSlowdownEstimates.js";
import type { TargetLoads } from "../views/createTargetLoads.js";
import { countTokens, type PlacedStep, type PromptRequirements } from "./callPlacement.js";
import { estimatePrefill, estimateTransfer } from "./estimatePrefill.js";
import { findMinBy } from "./findMinBy.js";
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

    /** Work of the engine to prefill all but the first `keptTokens`. */
    const estimateWork = (engine: ListedTarget, keptTokens: number) => {
        const isDecodeEngine = engine.stage === EngineStage.Decode;
        const leastWork = estimatePrefill(rate, prompt.promptTokens, keptTokens, isDecodeEngine);
        return { target: engine, keptTokens, leastWork, work: leastWork * slowdowns.factor(engine.targetId) };
    };

    const prefillWithoutFetch = (engine: ListedTarget, wait: number): PlacedStep => ({
        ...estimateWork(engine, cachedTokensAt(engine)),
        wait,
        sharedWork: sharedPrefillTime,
    });

    const prefillWithFetch = (engine: ListedTarget, source: PrefixSource, queueWait: number): PlacedStep => {
        const fetchedTokens = source.tokens - cachedTokensAt(engine);
        const fetchTime = service.engine ? transferTime(fetchedTokens, source.engine, engine, service.engine) : 0;
        return {
            ...estimateWork(engine, source.tokens),
            wait: Math.max(queueWait, fetchTime),
            sharedWork: fetchTime,
            fetchFrom: source.engine,
        };
    };

    return {
        prefill: (engine, isDeferred) => {
            const queueWait = loads.wait(engine.targetId, isDeferred) + capacityWait(engine);
            const useful = sources.filter(source => source.tokens > cachedTokensAt(engine));
            const withFetch = useful.map(source => prefillWithFetch(engine, source, queueWait));
            const withoutFetch = prefillWithoutFetch(engine, queueWait);
            return findMinBy([withoutFetch, ...withFetch], step => step.wait + step.work) ?? withoutFetch;
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

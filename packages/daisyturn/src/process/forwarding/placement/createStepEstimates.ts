import { EngineStage, type ListedTarget } from "../../../ports/listedTarget.js";
import type { EngineTraits } from "../../../version/forwarding/forwardingConfiguration.js";
import { Mechanism } from "../experiments/mechanism.js";
import type { CacheEstimates } from "../views/createCacheEstimates.js";
import type { PrefillRates } from "../views/createPrefillRates.js";
import type { SlowdownEstimates } from "../views/createSlowdownEstimates.js";
import type { TargetLoads } from "../views/createTargetLoads.js";
import { countTokens, type PlacedStep, type PromptRequirements } from "./callPlacement.js";
import { estimatePrefill, estimateTransfer } from "./estimatePrefill.js";
import { findLeast } from "./findLeast.js";
import { findPrefixHolders, type PrefixHolder } from "./findPrefixHolders.js";
import { sumShared } from "./groupEngines.js";

/** How long one prompt would wait and be worked on at each engine. */
export interface StepEstimates {
    /** Reading the prompt there. */
    read(engine: ListedTarget, isDeferred: boolean): PlacedStep;
    /** Decoding there what the reader has read. */
    decode(engine: ListedTarget, reader: ListedTarget, traits: EngineTraits, isDeferred: boolean): PlacedStep;
}

/** What {@link createStepEstimates} needs. */
export interface StepEstimatesOptions {
    readonly loads: TargetLoads;
    readonly caches: CacheEstimates;
    readonly slowdowns: SlowdownEstimates;
    readonly prefillRates: PrefillRates;
    /** What an experiment takes out. */
    readonly switchedOff: ReadonlySet<Mechanism>;
}

/** A chunk of a prompt, read between two steps of a batch. */
const chunkMilliseconds = 20;
/** A place in a full batch comes free about this often. */
const turnMilliseconds = 8;
/** Tokens of KV cache that the ends of calls free in a millisecond, once memory is full. */
const tokensFreedPerMillisecond = 150;
/** What is beyond this part of the memory is kept free: a call that outgrows it is put back and read again. */
const usableMemoryFraction = 0.85;

/** Creates the estimates of one prompt at the engines of its service, from the views of one process. */
export function createStepEstimates(
    { loads, caches, slowdowns, prefillRates, switchedOff }: StepEstimatesOptions,
    demand: PromptRequirements,
    engines: readonly ListedTarget[],
): StepEstimates {
    const { prompt, service } = demand;
    const kept = new Map(
        engines.map(({ targetId }) => [targetId, caches.keptTokens(targetId, prompt.parts)] as const),
    );
    const keptAt = ({ targetId }: ListedTarget) => kept.get(targetId) ?? 0;
    const rate = prefillRates.rate(service.name);
    const readingShared = estimatePrefill(rate, sumShared(prompt), 0, false);
    const mayFetch = service.engine !== undefined && !switchedOff.has(Mechanism.KvFetch);
    const holders = mayFetch ? findPrefixHolders(engines, keptAt) : [];

    /** With all places of the batch taken, or all memory, a call waits until others end. */
    const placeWait = (engine: ListedTarget) => {
        const excess = Math.max(0, loads.calls(engine.targetId) + 1 - engine.slots);
        const room = (service.engine?.kvTokens ?? Infinity) * usableMemoryFraction;
        const missing = Math.max(0, loads.tokens(engine.targetId) + countTokens(prompt) - room);
        return excess * turnMilliseconds + missing / tokensFreedPerMillisecond;
    };

    const transferTime = (tokens: number, from: ListedTarget, to: ListedTarget, traits: EngineTraits) =>
        estimateTransfer(
            tokens,
            traits.bytesPerToken,
            traits.linkMegabits,
            from.availabilityZone !== to.availabilityZone,
        );

    /** How long the engine is busy reading all but the first `keptTokens`. */
    const workWith = (engine: ListedTarget, keptTokens: number) => {
        const isShared = engine.stage === EngineStage.Decode;
        const leastWork = estimatePrefill(rate, prompt.promptTokens, keptTokens, isShared);
        return { target: engine, keptTokens, leastWork, work: leastWork * slowdowns.factor(engine.targetId) };
    };

    const readHere = (engine: ListedTarget, wait: number): PlacedStep => ({
        ...workWith(engine, keptAt(engine)),
        wait,
        sharedWork: readingShared,
    });

    const readFetched = (engine: ListedTarget, holder: PrefixHolder, queued: number): PlacedStep => {
        const missing = holder.tokens - keptAt(engine);
        const fetching = service.engine ? transferTime(missing, holder.engine, engine, service.engine) : 0;
        return {
            ...workWith(engine, holder.tokens),
            wait: Math.max(queued, fetching),
            sharedWork: fetching,
            fetchFrom: holder.engine,
        };
    };

    return {
        read: (engine, isDeferred) => {
            const queued = loads.wait(engine.targetId, isDeferred) + placeWait(engine);
            const useful = holders.filter(holder => holder.tokens > keptAt(engine));
            const fetched = useful.map(holder => readFetched(engine, holder, queued));
            const here = readHere(engine, queued);
            return findLeast([here, ...fetched], step => step.wait + step.work) ?? here;
        },
        decode: (engine, reader, traits, isDeferred) => {
            const moved = prompt.promptTokens - keptAt(engine);
            // Prompts read there delay the answer's first step by a chunk, not by the whole queue.
            const chunk = Math.min(loads.wait(engine.targetId, isDeferred), chunkMilliseconds);
            const wait = placeWait(engine) + chunk + transferTime(moved, reader, engine, traits);
            return { target: engine, work: 0, leastWork: 0, keptTokens: prompt.promptTokens, sharedWork: 0, wait };
        },
    };
}

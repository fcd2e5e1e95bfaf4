import { EngineStage, type ListedTarget } from "../../../ports/listedTarget.js";
import type { EngineTraits } from "../../../version/forwarding/forwardingConfiguration.js";
import type { CacheBeliefs } from "../views/createCacheBeliefs.js";
import type { PaceView } from "../views/createPaceView.js";
import type { TargetLoads } from "../views/createTargetLoads.js";
import { countTokens, type PlacedStep, type PromptDemand } from "./callPlacement.js";
import { estimatePrefill, estimateTransfer } from "./estimatePrefill.js";

/** How long a prompt would wait and be worked on at an engine. */
export interface StepEstimates {
    /** Reading the prompt there. */
    read(engine: ListedTarget, demand: PromptDemand, isDeferred: boolean): PlacedStep;
    /** Decoding there what the reader has read. */
    decode(
        engine: ListedTarget,
        reader: ListedTarget,
        demand: PromptDemand,
        traits: EngineTraits,
        isDeferred: boolean,
    ): PlacedStep;
}

/** What {@link createStepEstimates} needs. */
export interface StepEstimatesOptions {
    readonly loads: TargetLoads;
    readonly caches: CacheBeliefs;
    readonly paces: PaceView;
}

/** A chunk of a prompt, read between two steps of a batch. */
const chunkMilliseconds = 20;
/** A place in a full batch comes free about this often. */
const turnMilliseconds = 8;
/** Tokens of KV cache that the ends of calls free in a millisecond, once memory is full. */
const tokensFreedPerMillisecond = 150;
/** What is beyond this part of the memory is kept free: a call that outgrows it is put back and read again. */
const usableMemoryFraction = 0.85;

/** Creates the estimates of one process, from its views. */
export function createStepEstimates({ loads, caches, paces }: StepEstimatesOptions): StepEstimates {
    /** With all places of the batch taken, or all memory, a call waits until others end. */
    const placeWait = (engine: ListedTarget, { prompt, service }: PromptDemand) => {
        const excess = Math.max(0, loads.calls(engine.targetId) + 1 - engine.slots);
        const room = (service.engine?.kvTokens ?? Infinity) * usableMemoryFraction;
        const missing = Math.max(0, loads.tokens(engine.targetId) + countTokens(prompt) - room);
        return excess * turnMilliseconds + missing / tokensFreedPerMillisecond;
    };

    return {
        read: (engine, demand, isDeferred) => {
            const { prompt } = demand;
            const kept = caches.keptTokens(engine.targetId, prompt.parts);
            const isShared = engine.stage === EngineStage.Decode;
            const leastWork = estimatePrefill(prompt.promptTokens, kept, isShared);
            const work = leastWork * paces.factor(engine.targetId);
            const wait = loads.wait(engine.targetId, isDeferred) + placeWait(engine, demand);
            return { target: engine, work, wait, leastWork };
        },
        decode: (engine, reader, demand, { bytesPerToken, linkMegabits }, isDeferred) => {
            const { prompt } = demand;
            const moved = prompt.promptTokens - caches.keptTokens(engine.targetId, prompt.parts);
            const isOtherZone = engine.availabilityZone !== reader.availabilityZone;
            const transfer = estimateTransfer(moved, bytesPerToken, linkMegabits, isOtherZone);
            // Prompts read there delay the answer's first step by a chunk, not by the whole queue.
            const chunk = Math.min(loads.wait(engine.targetId, isDeferred), chunkMilliseconds);
            return { target: engine, work: 0, leastWork: 0, wait: placeWait(engine, demand) + chunk + transfer };
        },
    };
}

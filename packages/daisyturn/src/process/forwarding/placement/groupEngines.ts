import { hashTextTo32Bits, rendezvousWeight } from "daisyturn-utils";
import type { PromptDescription } from "../../../ports/forwardedCall.js";
import { EngineStage, type ListedTarget } from "../../../ports/listedTarget.js";
import { findMinBy } from "./findMinBy.js";

/** The engines of a service by what they do, and where each kind looks first for what a prompt begins with. */
export interface EngineGroups {
    readonly prefillEngines: readonly ListedTarget[];
    /** In an order that all processes share. */
    readonly decodeEngines: readonly ListedTarget[];
    readonly preferredPrefillEngine?: string;
    readonly preferredDecodeEngine?: string;
}

/** Prompts that share less than this are placed by load alone: reading it again takes less than a step. */
const affinityTokens = 512;
/**
 * With so many engines of a kind in an availability zone, prompts have their homes there, and neither they nor what is
 * told of them crosses zones. With fewer, each would have to keep the beginnings of all prompts, and reading them again
 * costs more than the way to another zone.
 */
const leastEnginesForZoneHomes = 3;

/** Groups the engines for one prompt, as seen from an availability zone. */
export function groupEngines(
    engines: readonly ListedTarget[],
    prompt: PromptDescription,
    availabilityZone: string,
): EngineGroups {
    const key = findAffinityKey(prompt);
    const prefillEngines = engines.filter(target => target.stage === EngineStage.Prefill);
    const decodeEngines = sortByHash(engines.filter(target => target.stage !== EngineStage.Prefill));
    return {
        prefillEngines,
        decodeEngines,
        preferredPrefillEngine: findHome(prefillEngines, key, availabilityZone),
        preferredDecodeEngine: findHome(decodeEngines, key, availabilityZone),
    };
}

/** Tokens that other prompts may begin with too: all parts but the last one, which is the prompt's own. */
export function countSharedTokens(prompt: PromptDescription): number {
    return prompt.parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
}

function sortByHash(engines: readonly ListedTarget[]): ListedTarget[] {
    return engines
        .map(engine => ({ engine, hash: hashTextTo32Bits(engine.targetId) }))
        .sort((left, right) => left.hash - right.hash)
        .map(({ engine }) => engine);
}

/** The engine that all processes of a zone try first for prompts that begin alike. */
function findHome(
    engines: readonly ListedTarget[],
    key: number | undefined,
    availabilityZone: string,
): string | undefined {
    if (key === undefined) {
        return undefined;
    }
    const near = engines.filter(engine => engine.availabilityZone === availabilityZone);
    const candidates = near.length >= leastEnginesForZoneHomes ? near : engines;
    return findMinBy(candidates, engine => -rendezvousWeight(key, hashTextTo32Bits(engine.targetId)))?.targetId;
}

/**
 * Prompts that are alike up to their own part get the same key. The first part alone would not do: where it is a profile
 * that all prompts of a kind begin with, they would all have one home, and what they share beyond it none.
 */
function findAffinityKey(prompt: PromptDescription): number | undefined {
    const lastShared = prompt.parts.at(-2);
    return lastShared && countSharedTokens(prompt) >= affinityTokens ? hashTextTo32Bits(lastShared.partId) : undefined;
}

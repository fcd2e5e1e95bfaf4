import { hashTextTo32Bits, rendezvousWeight } from "daisyturn-utils";
import type { PromptDescription } from "../../../ports/forwardedCall.js";
import { EngineStage, type ListedTarget } from "../../../ports/listedTarget.js";
import { findMinBy } from "./findMinBy.js";

/** The engines of a service by stage, and the target ids of the preferred engines for the prefix of one prompt. */
export interface EngineGroups {
    readonly prefillEngines: readonly ListedTarget[];
    /** In the same order at all processes. */
    readonly decodeEngines: readonly ListedTarget[];
    readonly preferredPrefillEngine?: string;
    readonly preferredDecodeEngine?: string;
}

/** Prompts with a shorter shared prefix are placed by load alone: prefilling it again takes less than a step. */
const minAffinityTokens = 512;
/**
 * With at least this many engines of a stage in an availability zone, the preferred engine is chosen within the zone,
 * and neither prompts nor the reports about them cross zones. With fewer, each engine would have to cache the prefixes
 * of all prompts, and prefilling them again costs more than sending the prompt to another zone.
 */
const minEnginesForZoneAffinity = 3;

/** Groups the engines for one prompt that is sent from an availability zone. */
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
        preferredPrefillEngine: findPreferredEngine(prefillEngines, key, availabilityZone),
        preferredDecodeEngine: findPreferredEngine(decodeEngines, key, availabilityZone),
    };
}

/** Tokens that other prompts may begin with too: all parts but the last one, which is the prompt's own. */
export function countSharedTokens(prompt: PromptDescription): number {
    return prompt.parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
}

/** Hashes of the identifiers of engines, which each prompt needs. */
const hashes = new WeakMap<ListedTarget, number>();

function findHash(engine: ListedTarget): number {
    let hash = hashes.get(engine);
    if (hash === undefined) {
        hash = hashTextTo32Bits(engine.targetId);
        hashes.set(engine, hash);
    }
    return hash;
}

function sortByHash(engines: readonly ListedTarget[]): ListedTarget[] {
    return engines
        .map(engine => ({ engine, hash: findHash(engine) }))
        .sort((left, right) => left.hash - right.hash)
        .map(({ engine }) => engine);
}

/** Finds by rendezvous hashing the engine that all processes of a zone prefer for prompts with the same prefix. */
function findPreferredEngine(
    engines: readonly ListedTarget[],
    key: number | undefined,
    availabilityZone: string,
): string | undefined {
    if (key === undefined) {
        return undefined;
    }
    const near = engines.filter(engine => engine.availabilityZone === availabilityZone);
    const candidates = near.length >= minEnginesForZoneAffinity ? near : engines;
    return findMinBy(candidates, engine => -rendezvousWeight(key, findHash(engine)))?.targetId;
}

/**
 * Computes the key that prompts with the same shared prefix have in common, from their last shared part. The first part
 * would not do: where it is a profile that all prompts of a kind begin with, they would all prefer one engine, and the
 * longer prefixes that only some of them share would have none.
 */
function findAffinityKey(prompt: PromptDescription): number | undefined {
    const lastShared = prompt.parts.at(-2);
    return lastShared && countSharedTokens(prompt) >= minAffinityTokens
        ? hashTextTo32Bits(lastShared.partId)
        : undefined;
}

import type { ListedTarget } from "../../../ports/listedTarget.js";

/** An engine that has a prefix of the prompt in its KV cache. */
export interface PrefixSource {
    readonly engine: ListedTarget;
    /** Length of the prefix. */
    readonly tokens: number;
}

/** Prefilling a prefix of up to this length takes no longer than setting up a transfer. */
const minFetchedTokens = 512;

/**
 * Finds the engines from which a prefix of a prompt may be fetched: in each availability zone the one that has cached
 * the longest prefix, since transfers between zones take longer.
 */
export function findPrefixSources(
    engines: readonly ListedTarget[],
    cachedTokensAt: (engine: ListedTarget) => number,
): readonly PrefixSource[] {
    const byZone = new Map<string, PrefixSource>();
    for (const engine of engines) {
        const tokens = cachedTokensAt(engine);
        const longest = byZone.get(engine.availabilityZone)?.tokens ?? minFetchedTokens;
        if (tokens > longest) {
            byZone.set(engine.availabilityZone, { engine, tokens });
        }
    }
    return [...byZone.values()];
}

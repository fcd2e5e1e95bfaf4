import type { ListedTarget } from "../../../ports/listedTarget.js";

/** An engine that keeps the beginning of a prompt in its KV cache. */
export interface PrefixSource {
    readonly engine: ListedTarget;
    /** Tokens of the beginning. */
    readonly tokens: number;
}

/** Shorter beginnings are read as fast as a transfer is set up. */
const leastFetchedTokens = 512;

/**
 * The engines from which a prompt's beginning may be fetched: in each availability zone the one that keeps most of it,
 * since transfers between zones take longer.
 */
export function findPrefixSources(
    engines: readonly ListedTarget[],
    keptAt: (engine: ListedTarget) => number,
): readonly PrefixSource[] {
    const byZone = new Map<string, PrefixSource>();
    for (const engine of engines) {
        const tokens = keptAt(engine);
        const most = byZone.get(engine.availabilityZone)?.tokens ?? leastFetchedTokens;
        if (tokens > most) {
            byZone.set(engine.availabilityZone, { engine, tokens });
        }
    }
    return [...byZone.values()];
}

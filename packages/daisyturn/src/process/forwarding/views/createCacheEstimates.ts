import type { Clock } from "daisyturn-utils";
import type { PromptPart } from "../../../ports/forwardedCall.js";

/** A part of a prompt that was placed at a target: target, part, tokens. */
export type PartPlacement = readonly [targetId: string, partId: string, tokens: number];

/** Which parts of prompts the engines are believed to keep, from where this process and its peers have placed them. */
export interface CacheEstimates {
    /** Notes that an engine has read or fetched a prompt. */
    record(targetId: string, parts: readonly PromptPart[], capacityTokens: number): void;
    /** Takes in what a peer has placed. */
    recordRemote(targetId: string, partId: string, tokens: number): void;
    /** Called with each part that was noted and that peers need to know of. */
    onRecorded(listener: (placement: PartPlacement) => void): void;
    /** Tokens at the start of the prompt that the engine need not compute. */
    keptTokens(targetId: string, parts: readonly PromptPart[]): number;
    forget(targetId: string): void;
}

/** What was not used for this long is taken to be gone. */
const beliefMilliseconds = 40_000;
/** Part of an engine's memory that keeps parts; running requests take the rest. */
const keepingFraction = 0.9;
/** Smaller parts are read in a step anyway, and would crowd out what the peers need to know. */
const leastToldTokens = 512;

interface KeptPart {
    readonly tokens: number;
    readonly usedAt: number;
}

interface EngineCache {
    /** A map keeps its entries in the order in which they were set, so the first one was used least recently. */
    readonly parts: Map<string, KeptPart>;
    tokens: number;
    capacity: number;
}

/** Creates the beliefs of one process. */
export function createCacheEstimates(clock: Clock): CacheEstimates {
    const caches = new Map<string, EngineCache>();
    const listeners: ((placement: PartPlacement) => void)[] = [];

    const find = (targetId: string): EngineCache => {
        let cache = caches.get(targetId);
        if (!cache) {
            cache = { parts: new Map(), tokens: 0, capacity: Infinity };
            caches.set(targetId, cache);
        }
        return cache;
    };

    const put = (cache: EngineCache, partId: string, tokens: number) => {
        drop(cache, partId);
        cache.parts.set(partId, { tokens, usedAt: clock.monotonicNow() });
        cache.tokens += tokens;
        for (const oldest of cache.parts.keys()) {
            if (cache.tokens <= cache.capacity) {
                break;
            }
            drop(cache, oldest);
        }
    };

    const drop = (cache: EngineCache, partId: string) => {
        cache.tokens -= cache.parts.get(partId)?.tokens ?? 0;
        cache.parts.delete(partId);
    };

    return {
        record: (targetId, parts, capacityTokens) => {
            const cache = find(targetId);
            cache.capacity = capacityTokens * keepingFraction;
            // The last part is the request's own: nobody asks for it again, but it pushes out others.
            parts.forEach(({ partId, tokens }, index) => {
                put(cache, partId, tokens);
                if (tokens >= leastToldTokens && index < parts.length - 1) {
                    listeners.forEach(listener => listener([targetId, partId, tokens]));
                }
            });
        },
        recordRemote: (targetId, partId, tokens) => put(find(targetId), partId, tokens),
        onRecorded: listener => void listeners.push(listener),
        keptTokens: (targetId, parts) => {
            const cache = caches.get(targetId);
            const oldest = clock.monotonicNow() - beliefMilliseconds;
            let tokens = 0;
            for (const part of parts.slice(0, -1)) {
                if ((cache?.parts.get(part.partId)?.usedAt ?? -Infinity) < oldest) {
                    break;
                }
                tokens += part.tokens;
            }
            return tokens;
        },
        forget: targetId => caches.delete(targetId),
    };
}

import type { Clock } from "daisyturn-utils";
import type { PromptPart } from "../../../ports/forwardedCall.js";

/** A part of a prompt that a target has cached: target, part, tokens. */
export type CachedPart = readonly [targetId: string, partId: string, tokens: number];

/** Estimates which parts of prompts the engines have cached, from the placements of this process and its peers. */
export interface CacheEstimates {
    /** Records that an engine has prefilled or fetched a prompt. */
    record(targetId: string, parts: readonly PromptPart[], capacityTokens: number): void;
    /** Records a part that a peer has reported. */
    recordRemote(targetId: string, partId: string, tokens: number): void;
    /** Adds a listener that is called with each recorded part that is to be reported to peers. */
    onRecorded(listener: (part: CachedPart) => void): void;
    /** Tokens at the start of the prompt that the engine need not prefill. */
    keptTokens(targetId: string, parts: readonly PromptPart[]): number;
    /** Tokens of the different parts that prompts shared at these targets within the last seconds. */
    sharedTokens(targetIds: readonly string[]): number;
    forget(targetId: string): void;
}

/** Parts that were not used for this long are presumed evicted. */
const retentionMilliseconds = 40_000;
/** Shared parts that were not used for this long count as no longer in use. */
const useMilliseconds = 15_000;
/** Fraction of an engine's memory that caches parts; running requests use the rest. */
const cacheFraction = 0.9;
/**
 * Smaller parts are prefilled within a step anyway, and would displace more important parts in the reports to peers.
 */
const minReportedTokens = 512;

interface CacheEntry {
    readonly tokens: number;
    readonly usedAt: number;
    /** Whether other prompts begin with the same part. */
    readonly isShared: boolean;
}

interface EngineCache {
    /** A map lists its entries in the order in which they were set, so the first one was used least recently. */
    readonly parts: Map<string, CacheEntry>;
    tokens: number;
    capacity: number;
}

/** Creates the estimates of one process. */
export function createCacheEstimates(clock: Clock): CacheEstimates {
    const caches = new Map<string, EngineCache>();
    const listeners: ((part: CachedPart) => void)[] = [];

    const find = (targetId: string): EngineCache => {
        let cache = caches.get(targetId);
        if (!cache) {
            cache = { parts: new Map(), tokens: 0, capacity: Infinity };
            caches.set(targetId, cache);
        }
        return cache;
    };

    const store = (cache: EngineCache, partId: string, tokens: number, isShared: boolean) => {
        evict(cache, partId);
        cache.parts.set(partId, { tokens, usedAt: clock.monotonicNow(), isShared });
        cache.tokens += tokens;
        for (const oldest of cache.parts.keys()) {
            if (cache.tokens <= cache.capacity) {
                break;
            }
            evict(cache, oldest);
        }
    };

    const evict = (cache: EngineCache, partId: string) => {
        cache.tokens -= cache.parts.get(partId)?.tokens ?? 0;
        cache.parts.delete(partId);
    };

    return {
        record: (targetId, parts, capacityTokens) => {
            const cache = find(targetId);
            cache.capacity = capacityTokens * cacheFraction;
            // The last part is the request's own: it is not used again, but evicts others.
            parts.forEach(({ partId, tokens }, index) => {
                const isShared = index < parts.length - 1;
                store(cache, partId, tokens, isShared);
                if (tokens >= minReportedTokens && isShared) {
                    listeners.forEach(listener => listener([targetId, partId, tokens]));
                }
            });
        },
        recordRemote: (targetId, partId, tokens) => store(find(targetId), partId, tokens, true),
        onRecorded: listener => void listeners.push(listener),
        keptTokens: (targetId, parts) => {
            const cache = caches.get(targetId);
            const oldest = clock.monotonicNow() - retentionMilliseconds;
            let tokens = 0;
            for (let index = 0; cache && index < parts.length - 1; index++) {
                const part = parts[index];
                if (!part || (cache.parts.get(part.partId)?.usedAt ?? -Infinity) < oldest) {
                    break;
                }
                tokens += part.tokens;
            }
            return tokens;
        },
        sharedTokens: targetIds => {
            const oldest = clock.monotonicNow() - useMilliseconds;
            const inUse = new Map<string, number>();
            for (const targetId of targetIds) {
                for (const [partId, { tokens, usedAt, isShared }] of caches.get(targetId)?.parts ?? []) {
                    if (isShared && usedAt >= oldest) {
                        inUse.set(partId, tokens);
                    }
                }
            }
            return [...inUse.values()].reduce((sum, tokens) => sum + tokens, 0);
        },
        forget: targetId => caches.delete(targetId),
    };
}

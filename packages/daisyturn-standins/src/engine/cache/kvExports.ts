import { hashText } from "daisyturn-utils";
import type { EngineStream } from "../engineStream.js";

/** Description of an exported KV cache for the importing engine. */
export interface KvExport {
    readonly handleId: string;
    readonly tokenCount: number;
    /** Identifies the model, adapter and prompt that the cache was computed from. Invalid for any other. */
    readonly contentHash: string;
}

/** KV caches that a prefill engine retains for other engines. Times are simulated. */
export interface KvExports {
    add(stream: EngineStream, now: number): KvExport;
    find(handleId: string): KvExport | undefined;
    /** Frees a cache. Returns false if it is not stored. */
    release(handleId: string): boolean;
    /** Frees caches that were not fetched within their lifetime. */
    expire(now: number): void;
}

interface StoredExport extends KvExport {
    readonly expiresAt: number;
}

/** Hashes the inputs that determine a KV cache. */
export function hashKvContent(model: string, adapter: string | undefined, prompt: string): string {
    return hashText(`${model}\n${adapter ?? ""}\n${prompt}`);
}

/** Creates an empty store. `reserveKv` is called with the tokens to reserve or, if negative, to free. */
export function createKvExports(lifetimeMilliseconds: number, reserveKv: (tokens: number) => void): KvExports {
    const stored = new Map<string, StoredExport>();

    const add = (stream: EngineStream, now: number): KvExport => {
        const { model, adapter, prompt, streamId } = stream.request;
        const entry: StoredExport = {
            handleId: `kv-${streamId}`,
            tokenCount: stream.promptTokens,
            contentHash: hashKvContent(model, adapter, prompt),
            expiresAt: now + lifetimeMilliseconds,
        };
        stored.set(entry.handleId, entry);
        reserveKv(entry.tokenCount);
        return entry;
    };

    const release = (handleId: string) => {
        const entry = stored.get(handleId);
        if (entry) {
            stored.delete(handleId);
            reserveKv(-entry.tokenCount);
        }
        return entry !== undefined;
    };

    const expire = (now: number) => {
        const expired = [...stored.values()].filter(entry => entry.expiresAt <= now);
        expired.forEach(entry => release(entry.handleId));
    };

    return { add, find: handleId => stored.get(handleId), release, expire };
}

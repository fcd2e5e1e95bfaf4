import { hashText } from "daisyturn-utils";
import type { EngineStream } from "../engineStream.js";

/** What an importing engine is told of an exported KV cache. */
export interface KvExport {
    readonly handleId: string;
    readonly tokenCount: number;
    /** Tells what the cache was computed from: it fits no other model, adapter or prompt. */
    readonly contentHash: string;
}

/** KV caches that a prefill engine holds for others. Times are simulated. */
export interface KvExports {
    add(stream: EngineStream, now: number): KvExport;
    find(handleId: string): KvExport | undefined;
    /** Frees a cache; false if it is not held. */
    release(handleId: string): boolean;
    /** Frees what was not fetched in time. */
    expire(now: number): void;
}

interface HeldExport extends KvExport {
    readonly expiresAt: number;
}

/** Hash of what a KV cache follows from. */
export function hashKvContent(model: string, adapter: string | undefined, prompt: string): string {
    return hashText(`${model}\n${adapter ?? ""}\n${prompt}`);
}

/** Creates the empty store; `holdKv` is told the tokens that are taken and, negative, freed. */
export function createKvExports(lifetimeMilliseconds: number, holdKv: (tokens: number) => void): KvExports {
    const held = new Map<string, HeldExport>();

    const add = (stream: EngineStream, now: number): KvExport => {
        const { model, adapter, prompt, streamId } = stream.request;
        const entry: HeldExport = {
            handleId: `kv-${streamId}`,
            tokenCount: stream.promptTokens,
            contentHash: hashKvContent(model, adapter, prompt),
            expiresAt: now + lifetimeMilliseconds,
        };
        held.set(entry.handleId, entry);
        holdKv(entry.tokenCount);
        return entry;
    };

    const release = (handleId: string) => {
        const entry = held.get(handleId);
        if (entry) {
            held.delete(handleId);
            holdKv(-entry.tokenCount);
        }
        return entry !== undefined;
    };

    const expire = (now: number) => {
        const expired = [...held.values()].filter(entry => entry.expiresAt <= now);
        expired.forEach(entry => release(entry.handleId));
    };

    return { add, find: handleId => held.get(handleId), release, expire };
}

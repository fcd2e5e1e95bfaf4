import { GeneratePart, type GenerateRequest, type KvHandle } from "daisyturn";
import { type Failure, FailureReason, notRun } from "daisyturn-utils";
import Result from "true-myth/result";
import { request } from "undici";
import { z } from "zod";
import { hashKvContent, type KvExport } from "./kvExports.js";

const fetchTimeoutMilliseconds = 2_000;
const kvExportSchema = z.object({ handleId: z.string(), tokenCount: z.number(), contentHash: z.string() });

/** Fetches descriptions of KV caches from other engines. The transfer itself is only simulated as a delay. */
export interface KvImporter {
    /** Returns the export under the handle, or undefined if there is none or the engine is unreachable. */
    look(handle: KvHandle): Promise<KvExport | undefined>;
    /** Reports to the exporting engine that the cache was fetched, so that it frees the memory. */
    release(handle: KvHandle): Promise<void>;
}

/** Returns the number of tokens in the KV cache that a request refers to, or why it can't be imported. */
export async function importKv(importer: KvImporter, work: GenerateRequest): Promise<Result<number, Failure>> {
    if (work.part !== GeneratePart.Decode) {
        return Result.ok(0);
    }
    if (!work.kvHandle) {
        return Result.err(notRun(FailureReason.BadRequest, "A decode part names no KV cache."));
    }
    const found = await importer.look(work.kvHandle);
    if (found?.contentHash !== hashKvContent(work.model, work.adapter, work.prompt)) {
        return Result.err(notRun(FailureReason.TargetRefused, "The KV cache is gone or is that of another prompt."));
    }
    return Result.ok(found.tokenCount);
}

/** Creates an importer that fetches over HTTP. */
export function createHttpKvImporter(): KvImporter {
    const look = async (handle: KvHandle) => {
        try {
            const answer = await request(exportUrl(handle), { signal: AbortSignal.timeout(fetchTimeoutMilliseconds) });
            const text = await answer.body.text();
            return answer.statusCode === 200 ? kvExportSchema.parse(JSON.parse(text)) : undefined;
        }
        catch {
            return undefined;
        }
    };

    const release = async (handle: KvHandle) => {
        try {
            const signal = AbortSignal.timeout(fetchTimeoutMilliseconds);
            await (await request(exportUrl(handle), { method: "DELETE", signal })).body.dump();
        }
        catch {
            // The exporting engine frees the cache when its lifetime ends.
        }
    };

    return { look, release };
}

function exportUrl(handle: KvHandle): string {
    return `${handle.address}/kv/${encodeURIComponent(handle.handleId)}`;
}

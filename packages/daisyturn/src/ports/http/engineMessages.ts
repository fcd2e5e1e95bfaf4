import { z } from "zod";
import { EnginePhase, EngineRole, FinishReason, OrderAnswer, StreamEventKind } from "../engine.js";

/** Media type of a stream: one JSON object per line. */
export const streamContentType = "application/x-ndjson";

/** Kind of a keep-alive line, which shows that the engine is still connected. */
export const waitingKind = "waiting";

const countSchema = z.number().int().nonnegative();

/** Location of a KV cache that a prefill engine retains. */
export const kvHandleSchema = z.object({
    engineId: z.string(),
    address: z.string(),
    handleId: z.string(),
    tokenCount: countSchema,
});

/** One line of a stream. It carries the stream's id, so that lines of another stream are detected. */
export const streamLineSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal(waitingKind), streamId: z.string() }),
    z.object({
        kind: z.literal(StreamEventKind.Tokens),
        streamId: z.string(),
        offset: countSchema,
        tokenCount: z.number().int().positive(),
        text: z.string(),
    }),
    z.object({
        kind: z.literal(StreamEventKind.End),
        streamId: z.string(),
        finishReason: z.enum(FinishReason),
        promptTokens: countSchema,
        cachedTokens: countSchema,
        outputTokens: countSchema,
        kvHandle: kvHandleSchema.optional(),
    }),
]);

/** One line of a stream. */
export type StreamLine = z.infer<typeof streamLineSchema>;

/** Answer to an order. It carries the order's id, so that a late answer to another order is not mistaken for it. */
export const orderAnswerSchema = z.object({ orderId: z.string(), answer: z.enum(OrderAnswer) });

/** Answer of `GET /state`. */
export const engineStateSchema = z.object({
    engineId: z.string(),
    incarnation: z.string(),
    role: z.enum(EngineRole),
    phase: z.enum(EnginePhase),
    draining: z.boolean(),
    models: z.array(z.string()),
    adapters: z.array(z.string()),
    version: z.string(),
    runningStreams: countSchema,
    queuedRequests: countSchema,
    lastOrderId: z.string().optional(),
    highestFencingNumber: z.number().optional(),
});

/** Answer of `GET /load`. */
export const loadReportSchema = z.object({
    engineId: z.string(),
    incarnation: z.string(),
    asOf: z.number(),
    role: z.enum(EngineRole),
    phase: z.enum(EnginePhase),
    runningStreams: countSchema,
    queuedRequests: countSchema,
    queuedPrefillTokens: countSchema,
    outstandingOutputTokens: countSchema,
    kvTokensUsed: countSchema,
    kvTokensCapacity: countSchema,
    prefillRate: z.number().positive(),
    decodeRate: z.number().positive(),
    recentStreamIds: z.array(z.string()).optional(),
});

/** Answer of `GET /cache-events`. */
export const cacheEventPageSchema = z.object({
    incarnation: z.string(),
    events: z.array(z.object({
        sequence: countSchema,
        stored: z.array(z.string()),
        evicted: z.array(z.string()),
    })),
    cursor: countSchema,
});

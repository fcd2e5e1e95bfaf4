import { EngineRole } from "daisyturn";
import { z } from "zod";

const duration = z.number().nonnegative();
const count = z.number().int().positive();

/**
 * Settings of one engine stand-in. Durations are in simulated milliseconds unless stated otherwise. `speed` is the
 * number of simulated milliseconds per real millisecond.
 */
export const engineOptionsSchema = z.object({
    id: z.string().min(1),
    /** 0 picks a free port. */
    port: z.number().int().min(0).max(65_535).default(0),
    host: z.string().default("127.0.0.1"),
    role: z.enum(EngineRole).default(EngineRole.Mixed),
    models: z.array(z.string()).min(1),
    adapters: z.array(z.string()).default([]),
    version: z.string().default("1"),
    /** Whether an order with an old fencing number is refused. */
    checksFencing: z.boolean().default(true),
    /** Seed of the random choice of cache events that get lost. */
    seed: z.number().int().default(1),
    speed: z.number().positive().default(1),
    /** Minimum real time between two writes of tokens. The tokens of shorter steps are written together. */
    flushRealMilliseconds: z.number().positive().default(5),
    /** Real time without a write after which a waiting line is written to a stream. */
    waitingRealMilliseconds: z.number().positive().default(2_000),

    /** Fixed part of the duration of a step. */
    stepBaseMilliseconds: z.number().positive().default(8),
    /** Time that each decoding stream adds to a step. */
    stepPerDecodeStreamMilliseconds: duration.default(0.25),
    /** Time that each prefilled token adds to a step. */
    stepPerPrefillTokenMilliseconds: duration.default(0.05),
    /** Maximum number of prompt tokens per step. */
    prefillTokensPerStep: count.default(512),
    maxRunningStreams: count.default(64),
    maxQueuedRequests: count.default(256),
    kvTokensCapacity: count.default(400_000),
    /** Capacity of the prefix cache in blocks. */
    prefixCacheBlocks: count.default(2_048),

    /** Fixed part of the time to import a KV cache. */
    transferBaseMilliseconds: duration.default(5),
    transferTokensPerMillisecond: z.number().positive().default(50),
    /** How long an exported KV cache is retained. */
    exportMilliseconds: duration.default(30_000),
    /** How long an ended stream can be resumed. */
    endedStreamMilliseconds: duration.default(60_000),

    loadLagMilliseconds: duration.default(500),
    /** Time between two samples of the load. */
    loadSampleMilliseconds: z.number().positive().default(100),
    cacheEventDelayMilliseconds: duration.default(300),
    /** Fraction of the cache events that is never published. */
    cacheEventLoss: z.number().min(0).max(1).default(0.01),

    roleChangeMilliseconds: duration.default(5_000),
    loadMilliseconds: duration.default(8_000),
    /** Whether the highest fencing number is retained across restarts. */
    keepsFencingOverRestart: z.boolean().default(true),
});

/** Settings of one engine stand-in before defaults are applied. */
export type EngineOptions = z.input<typeof engineOptionsSchema>;
/** Settings of one engine stand-in with defaults applied. */
export type EngineSettings = z.output<typeof engineOptionsSchema>;

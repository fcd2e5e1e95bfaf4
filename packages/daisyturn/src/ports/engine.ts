import type { Failure } from "daisyturn-utils";
import type { Result } from "true-myth/result";

/** Which stages of a request an engine runs. */
export enum EngineRole {
    /** Both stages. */
    Mixed = "mixed",
    Prefill = "prefill",
    Decode = "decode",
}

/** Whether an engine currently accepts work. */
export enum EnginePhase {
    Serving = "serving",
    /** Carrying out an order. The engine accepts no work for some seconds. */
    Changing = "changing",
    /** A change failed partway. The engine accepts no work until it receives another order. */
    Stuck = "stuck",
}

/** Which part of a request an engine is to run. */
export enum GeneratePart {
    Whole = "whole",
    /** Only compute the KV cache and retain it for export. The stream ends with {@link StreamEnd.kvHandle}. */
    Prefill = "prefill",
    /** Import the KV cache named by {@link GenerateRequest.kvHandle} and decode. */
    Decode = "decode",
}

/** Scheduling class of a request in an engine's queue. */
export enum Priority {
    Interactive = "interactive",
    Bulk = "bulk",
}

/** Location of a KV cache that a prefill engine retains for export. */
export interface KvHandle {
    readonly engineId: string;
    /** Address from which the importing engine fetches the KV cache. */
    readonly address: string;
    readonly handleId: string;
    readonly tokenCount: number;
}

/** Sampling parameters. The engine's default applies to those that are absent. */
export interface Sampling {
    readonly temperature?: number;
    readonly topP?: number;
    readonly seed?: number;
    /** Stop sequences. */
    readonly stop?: readonly string[];
}

/** A generation request to an engine. */
export interface GenerateRequest {
    /** Unique, never reused. Identifies the stream when it is resumed or cancelled. */
    readonly streamId: string;
    readonly part: GeneratePart;
    readonly model: string;
    readonly adapter?: string;
    readonly prompt: string;
    /** Chained hashes of the prompt's blocks, as computed by `hashPromptBlocks`. */
    readonly promptBlocks: readonly string[];
    readonly maxOutputTokens: number;
    readonly priority: Priority;
    /** Wall-clock time, in milliseconds, after which the answer is no longer needed. */
    readonly deadline: number;
    readonly kvHandle?: KvHandle;
    /** Tokens already delivered. The engine continues after them. Used when a stream moves to another engine. */
    readonly startOffset?: number;
    /**
     * Text of the tokens before `startOffset`, if known. The engine continues from it. Without it, the engine
     * regenerates the answer and skips the first tokens, which is correct only if sampling is deterministic.
     */
    readonly precedingText?: string;
    readonly sampling?: Sampling;
}

/** Why a stream ended. */
export enum FinishReason {
    /** The model ended the answer. */
    Stop = "stop",
    /** The answer reached `maxOutputTokens`. */
    Length = "length",
    /** The prefill part is complete. */
    Prefilled = "prefilled",
}

/** Kinds of events in an engine's stream. */
export enum StreamEventKind {
    Tokens = "tokens",
    End = "end",
    Broken = "broken",
}

/** One or more tokens of the answer. */
export interface StreamTokens {
    readonly kind: StreamEventKind.Tokens;
    /** Tokens of the answer before these. If it is not the sum of all earlier `tokenCount`, the stream is broken. */
    readonly offset: number;
    readonly tokenCount: number;
    readonly text: string;
}

/** Final event of a complete stream. A stream that ends without it is truncated, which is an error. */
export interface StreamEnd {
    readonly kind: StreamEventKind.End;
    readonly finishReason: FinishReason;
    readonly promptTokens: number;
    /** Prompt tokens found in the engine's prefix cache. */
    readonly cachedTokens: number;
    /** Tokens of the complete answer, including those before `startOffset`. */
    readonly outputTokens: number;
    readonly kvHandle?: KvHandle;
}

/** The stream failed. No events follow. */
export interface StreamBroken {
    readonly kind: StreamEventKind.Broken;
    readonly failure: Failure;
}

/** One event of an engine's stream. The last one is an End or a Broken. */
export type StreamEvent = StreamTokens | StreamEnd | StreamBroken;

/** An engine's report of its load. It may be out of date when it arrives. */
export interface LoadReport {
    readonly engineId: string;
    /** Incarnation of the engine's own process. */
    readonly incarnation: string;
    /** Wall-clock time, in milliseconds, at which the reported values applied. */
    readonly asOf: number;
    readonly role: EngineRole;
    readonly phase: EnginePhase;
    readonly runningStreams: number;
    readonly queuedRequests: number;
    /** Prompt tokens not yet prefilled, of queued and running requests. */
    readonly queuedPrefillTokens: number;
    /** Output tokens that running and queued streams may still generate. */
    readonly outstandingOutputTokens: number;
    readonly kvTokensUsed: number;
    readonly kvTokensCapacity: number;
    /** Tokens per second while the engine only prefills. */
    readonly prefillRate: number;
    /** Tokens per second and stream with a small batch. */
    readonly decodeRate: number;
    /** Ids of streams accepted since the last report or still running. The list may be truncated. */
    readonly recentStreamIds?: readonly string[];
}

/** A change of an engine's prefix cache. */
export interface CacheEvent {
    /** Increases by one per event. A gap means that events were lost. */
    readonly sequence: number;
    readonly stored: readonly string[];
    readonly evicted: readonly string[];
}

/** Cache events after a cursor. */
export interface CacheEventPage {
    readonly incarnation: string;
    readonly events: readonly CacheEvent[];
    /** Cursor to pass to the next call. */
    readonly cursor: number;
}

/** Kinds of orders to an engine. */
export enum OrderKind {
    ChangeRole = "change_role",
    LoadModel = "load_model",
    LoadAdapter = "load_adapter",
    LoadVersion = "load_version",
    /** Accept no new work and let running streams end. */
    Drain = "drain",
    /** Accept work again. */
    Resume = "resume",
}

/** An order to an engine. */
export interface EngineOrder {
    readonly orderId: string;
    readonly kind: OrderKind;
    readonly role?: EngineRole;
    /** Name of the model, adapter or version to load. */
    readonly artifact?: string;
    readonly weightGrantId?: string;
    readonly fencingNumber: number;
}

/** An engine's answer to an order. */
export enum OrderAnswer {
    /** Started. `readState` shows the progress. */
    Accepted = "accepted",
    /** An order with the same id was accepted before. */
    Repeated = "repeated",
    /** The fencing number is lower than one that the engine has seen. */
    StaleFencingNumber = "stale_fencing_number",
    /** Another change is in progress, or the order does not apply in the current state. */
    Busy = "busy",
}

/** The engine's current state, as read from the engine itself. */
export interface EngineState {
    readonly engineId: string;
    readonly incarnation: string;
    readonly role: EngineRole;
    readonly phase: EnginePhase;
    readonly draining: boolean;
    readonly models: readonly string[];
    readonly adapters: readonly string[];
    readonly version: string;
    readonly runningStreams: number;
    readonly queuedRequests: number;
    /** The last order that took effect or was started; undefined if it was lost in a crash. */
    readonly lastOrderId?: string;
    /** Highest fencing number seen; undefined if the engine does not check fencing numbers. */
    readonly highestFencingNumber?: number;
}

/**
 * One model engine. Adapters implement its wire protocol.
 * A failure's verdict states whether the request may have run.
 */
export abstract class Engine {
    abstract readonly engineId: string;
    /**
     * Starts a request. Resolves once the engine has accepted it, or with a failure if it has not. Later failures are
     * events of the stream. Aborting `signal` cancels the work at the engine.
     */
    abstract generate(
        request: GenerateRequest,
        signal: AbortSignal,
    ): Promise<Result<AsyncIterable<StreamEvent>, Failure>>;
    /** Attaches to a running or finished stream after `offset` tokens. Engines retain ended streams for a while. */
    abstract resume(
        streamId: string,
        offset: number,
        signal: AbortSignal,
    ): Promise<Result<AsyncIterable<StreamEvent>, Failure>>;
    abstract cancel(streamId: string, deadline: number): Promise<Result<void, Failure>>;
    abstract order(order: EngineOrder, deadline: number): Promise<Result<OrderAnswer, Failure>>;
    abstract readState(deadline: number): Promise<Result<EngineState, Failure>>;
    abstract readLoad(deadline: number): Promise<Result<LoadReport, Failure>>;
    abstract readCacheEvents(cursor: number, deadline: number): Promise<Result<CacheEventPage, Failure>>;
}

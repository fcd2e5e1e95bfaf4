import type { Failure } from "daisyturn-utils";
import type { Result } from "true-myth/result";

/** Which part of the work an engine does. */
export enum EngineRole {
    /** Both parts. */
    Mixed = "mixed",
    Prefill = "prefill",
    Decode = "decode",
}

/** What an engine can do at the moment. */
export enum EnginePhase {
    Serving = "serving",
    /** Carrying out an order; it takes no work for some seconds. */
    Changing = "changing",
    /** It stopped partway through a change and waits for an order. */
    Stuck = "stuck",
}

/** Which part of a request an engine is asked for. */
export enum GeneratePart {
    Whole = "whole",
    /** Only compute the KV cache and hold it for export; ends with {@link StreamEnd.kvHandle}. */
    Prefill = "prefill",
    /** Import the KV cache named by {@link GenerateRequest.kvHandle} and decode. */
    Decode = "decode",
}

/** Order in which engines serve what waits. */
export enum Priority {
    Interactive = "interactive",
    Bulk = "bulk",
}

/** Where a prefill engine holds a KV cache for export. */
export interface KvHandle {
    readonly engineId: string;
    /** Address from which the importing engine fetches. */
    readonly address: string;
    readonly handleId: string;
    readonly tokenCount: number;
}

/** How an engine chooses tokens. What is absent is the engine's own default. */
export interface Sampling {
    readonly temperature?: number;
    readonly topP?: number;
    readonly seed?: number;
    /** Texts that end the answer. */
    readonly stop?: readonly string[];
}

/** Work for an engine. */
export interface GenerateRequest {
    /** Never used twice. Names the stream for resuming and cancelling. */
    readonly streamId: string;
    readonly part: GeneratePart;
    readonly model: string;
    readonly adapter?: string;
    readonly prompt: string;
    /** Chained hashes of the prompt's blocks, as made by `hashPromptBlocks`. */
    readonly promptBlocks: readonly string[];
    readonly maxOutputTokens: number;
    readonly priority: Priority;
    /** Wall-clock time, in milliseconds, after which the answer is worth nothing. */
    readonly deadline: number;
    readonly kvHandle?: KvHandle;
    /** Tokens already delivered: the engine continues after them. Used where a stream moves to another engine. */
    readonly startOffset?: number;
    /**
     * Text of the tokens before `startOffset`, where it is known: the engine continues from it. Without it the engine
     * makes the answer anew and leaves out its first tokens, which is right only where sampling is deterministic.
     */
    readonly precedingText?: string;
    readonly sampling?: Sampling;
}

/** Why a stream ended. */
export enum FinishReason {
    /** The model ended its answer. */
    Stop = "stop",
    /** The answer reached `maxOutputTokens`. */
    Length = "length",
    /** A prefill part is done. */
    Prefilled = "prefilled",
}

/** What an engine's stream yields. */
export enum StreamEventKind {
    Tokens = "tokens",
    End = "end",
    Broken = "broken",
}

/** Some tokens of the answer. */
export interface StreamTokens {
    readonly kind: StreamEventKind.Tokens;
    /** Tokens of the answer before these; equals the sum of all `tokenCount` before, or the stream is broken. */
    readonly offset: number;
    readonly tokenCount: number;
    readonly text: string;
}

/** The end mark. A stream without it is short, and a short stream is an error. */
export interface StreamEnd {
    readonly kind: StreamEventKind.End;
    readonly finishReason: FinishReason;
    readonly promptTokens: number;
    /** Prompt tokens found in the engine's prefix cache. */
    readonly cachedTokens: number;
    /** Tokens of the whole answer, including those before `startOffset`. */
    readonly outputTokens: number;
    readonly kvHandle?: KvHandle;
}

/** The stream was cut; nothing follows. */
export interface StreamBroken {
    readonly kind: StreamEventKind.Broken;
    readonly failure: Failure;
}

/** One item of an engine's stream; the last one is an End or a Broken. */
export type StreamEvent = StreamTokens | StreamEnd | StreamBroken;

/** An engine's report of its load; it lags. */
export interface LoadReport {
    readonly engineId: string;
    /** Incarnation of the engine's own process. */
    readonly incarnation: string;
    /** Wall-clock time, in milliseconds, of what is reported. */
    readonly asOf: number;
    readonly role: EngineRole;
    readonly phase: EnginePhase;
    readonly runningStreams: number;
    readonly queuedRequests: number;
    /** Prompt tokens still to be prefilled, queued and running. */
    readonly queuedPrefillTokens: number;
    /** Output tokens promised to running and queued streams but not yet generated. */
    readonly outstandingOutputTokens: number;
    readonly kvTokensUsed: number;
    readonly kvTokensCapacity: number;
    /** Tokens a second when prefilling alone. */
    readonly prefillRate: number;
    /** Tokens a second and stream with a small batch. */
    readonly decodeRate: number;
    /** Ids of streams that the engine has taken in since its last report or that still run; may be cut short. */
    readonly recentStreamIds?: readonly string[];
}

/** A change of an engine's prefix cache. */
export interface CacheEvent {
    /** Grows by one; a jump means that events were lost. */
    readonly sequence: number;
    readonly stored: readonly string[];
    readonly evicted: readonly string[];
}

/** Cache events after a cursor. */
export interface CacheEventPage {
    readonly incarnation: string;
    readonly events: readonly CacheEvent[];
    /** Cursor for the next call. */
    readonly cursor: number;
}

/** What an engine can be ordered to do. */
export enum OrderKind {
    ChangeRole = "change_role",
    LoadModel = "load_model",
    LoadAdapter = "load_adapter",
    LoadVersion = "load_version",
    /** Take no new work and let streams end. */
    Drain = "drain",
    /** Take work again. */
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

/** What an engine answers to an order. */
export enum OrderAnswer {
    /** Begun; progress is seen by `readState`. */
    Accepted = "accepted",
    /** The same order id was taken before. */
    Repeated = "repeated",
    /** The fencing number is older than one it has seen. */
    StaleFencingNumber = "stale_fencing_number",
    /** Another change is running or the order makes no sense now. */
    Busy = "busy",
}

/** The engine's own view, not lagging. */
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
    /** The last order that took effect or began; undefined after a crash that lost it. */
    readonly lastOrderId?: string;
    /** Highest fencing number seen; undefined where the engine does not check. */
    readonly highestFencingNumber?: number;
}

/**
 * One model engine. Only an adapter knows its wire protocol.
 * A failure's verdict tells whether the request may have run.
 */
export abstract class Engine {
    abstract readonly engineId: string;
    /**
     * Starts work. The result is a failure until the engine has accepted; afterwards the stream yields events.
     * Aborting `signal` cancels the work at the engine.
     */
    abstract generate(
        request: GenerateRequest,
        signal: AbortSignal,
    ): Promise<Result<AsyncIterable<StreamEvent>, Failure>>;
    /** Attaches to a running or finished stream, after `offset` tokens. Engines keep ended streams for a while. */
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

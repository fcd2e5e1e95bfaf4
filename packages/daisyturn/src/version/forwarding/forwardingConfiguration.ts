/** How often requests of a route may run. */
export enum CallKind {
    /** May run more than once. */
    Idempotent = "idempotent",
    /** May run at most once for each of the caller's attempts. */
    NonIdempotent = "non_idempotent",
    /** Answered with a stream of events. A retry may only continue after the last event received. */
    Stream = "stream",
}

/** A service that receives a share of a route's requests. */
export interface ServiceShare {
    readonly service: string;
    readonly weight: number;
}

/** Services and limits for requests with a host and a path prefix. */
export interface ForwardRoute {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    readonly kind: CallKind;
    /** Maximum time from the arrival of a request to its deadline. */
    readonly timeoutMilliseconds: number;
    /** Target latency of an answer (of a stream: of its first event). */
    readonly latencyAimMilliseconds: number;
    /** Target pause: the maximum pause between two events of a stream that is on time; unlimited if absent. */
    readonly pauseAimMilliseconds?: number;
    /** Priority among routes. 0 is the highest. */
    readonly priority: number;
    /** Contains at least one entry. */
    readonly shares: readonly ServiceShare[];
    /** Maximum number of targets to which one request may be sent. */
    readonly maxAttempts: number;
    /** Whether a broken stream may be continued at another target. */
    readonly isResumable: boolean;
    /** Whether callers need no key although the configuration has client accounts. */
    readonly isPublic?: boolean;
}

/** A client account with the keys by which its callers are identified. */
export interface ForwardAccount {
    readonly name: string;
    readonly keys: readonly string[];
    /** Replaces the priority of the route; 0 is the highest. */
    readonly priority?: number;
}

/** Properties that all engines of a service share. */
export interface EngineTraits {
    /** KV cache capacity of one engine, in tokens. */
    readonly kvTokens: number;
    /** KV cache size per token, in bytes. */
    readonly bytesPerToken: number;
    /** Bandwidth of the link between engines, in megabits per second. */
    readonly linkMegabits: number;
    /** Output tokens per event of an answer. */
    readonly tokensPerEvent: number;
}

/** Bounds and prices of a service whose engines can be ordered and given back. */
export interface EngineScaling {
    /** Bounds of the number of engines in one availability zone, of both kinds together. */
    readonly minEngines: number;
    readonly maxEngines: number;
    /** Time from an order until a new engine takes work, in milliseconds. */
    readonly bootMilliseconds: number;
    /** Price of one second of an engine, by availability zone. Zones without an entry cost 1. */
    readonly zonePrices: ReadonlyMap<string, number>;
    /**
     * Price of an engine that may be reclaimed, relative to that of another engine in its zone; undefined if there are
     * none. All such engines of a zone may be reclaimed at once, with little notice.
     */
    readonly reclaimablePrice?: number;
}

/** A group of interchangeable targets. */
export interface ForwardService {
    readonly name: string;
    /** Absent for plain services. */
    readonly engine?: EngineTraits;
    /** Absent if the number of targets is fixed. */
    readonly scaling?: EngineScaling;
}

/** Limits on callers' requests and connections. */
export interface ForwardLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerMilliseconds: number;
    readonly idleMilliseconds: number;
}

/** One complete version of the operators' configuration. */
export interface ForwardingConfiguration {
    readonly version: number;
    readonly routes: readonly ForwardRoute[];
    readonly services: ReadonlyMap<string, ForwardService>;
    readonly limits: ForwardLimits;
    /** Client accounts; undefined if callers need no keys. */
    readonly accounts?: readonly ForwardAccount[];
    /** What the decoder has left out because it is not valid, to be logged. Contains no keys. */
    readonly faults?: readonly string[];
}

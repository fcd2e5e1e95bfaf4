/** What a route says about repeating its requests. */
export enum CallKind {
    /** May run more than once. */
    Idempotent = "idempotent",
    /** May run at most once for each of the caller's attempts. */
    NonIdempotent = "non_idempotent",
    /** Answered by a series of events; repeated only by going on after the last event that arrived. */
    Stream = "stream",
}

/** A service that takes a part of a route's requests. */
export interface ServiceShare {
    readonly service: string;
    readonly weight: number;
}

/** Where requests with a host and a path go, and how they are to be treated. */
export interface ForwardRoute {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    readonly kind: CallKind;
    /** Longest time that a request may be kept waiting. */
    readonly timeoutMilliseconds: number;
    /** Time within which an answer (of a stream: its first event) is on time. */
    readonly latencyAimMilliseconds: number;
    /** Longest pause between two events with which a stream is on time; absent where any pause is. */
    readonly pauseAimMilliseconds?: number;
    /** Rank among routes; 0 comes first. */
    readonly priority: number;
    /** At least one. */
    readonly shares: readonly ServiceShare[];
    /** Most targets that one request may be sent to. */
    readonly maxAttempts: number;
    /** Whether a broken stream may be continued at another target. */
    readonly isResumable: boolean;
}

/** What all engines of a service have in common. */
export interface EngineTraits {
    /** Tokens of KV cache that one engine holds. */
    readonly kvTokens: number;
    /** Bytes of KV cache a token. */
    readonly bytesPerToken: number;
    /** Bandwidth of the link between engines, in megabits a second. */
    readonly linkMegabits: number;
    /** Output tokens that one event of an answer holds. */
    readonly tokensPerEvent: number;
}

/** A group of targets that do the same work. */
export interface ForwardService {
    readonly name: string;
    /** Absent for plain services. */
    readonly engine?: EngineTraits;
}

/** What a caller may cost. */
export interface ForwardLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerMilliseconds: number;
    readonly idleMilliseconds: number;
}

/** One version of the operators' configuration, whole. */
export interface ForwardingConfiguration {
    readonly version: number;
    readonly routes: readonly ForwardRoute[];
    readonly services: ReadonlyMap<string, ForwardService>;
    readonly limits: ForwardLimits;
}

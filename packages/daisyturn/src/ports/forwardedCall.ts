import type { Failure } from "daisyturn-utils";
import type { Result } from "true-myth/result";

/** Header fields in order, names and values alternating, in undici's raw format. */
export type HeaderFields = readonly string[];

/** A part of a prompt that may be shared with other requests. */
export interface PromptPart {
    readonly partId: string;
    readonly tokens: number;
}

/** A caller's description of a prompt, sent in addition to the body. */
export interface PromptDescription {
    readonly model: string;
    readonly promptTokens: number;
    readonly maxOutputTokens: number;
    /** The caller's estimate, or `maxOutputTokens` if it gives none. */
    readonly expectedOutputTokens: number;
    /** In the order of the prompt. The last part is specific to the request. */
    readonly parts: readonly PromptPart[];
}

/** Protocol-independent contents of the head of a caller's request. */
export interface CallDescription {
    /** Unique to one attempt of the caller. Targets echo it. */
    readonly callId: string;
    /** How long the caller waits, in milliseconds; undefined if it does not say. */
    readonly callerTimeoutMilliseconds?: number;
    readonly prompt?: PromptDescription;
    /** Identifier of the last event that the caller received of an answer that is to be continued. */
    readonly lastEventId?: string;
    /** `callId` of the attempt that brought the first event of the stream that this call resumes. */
    readonly resumedCallId?: string;
    /** Key by which the caller's client account is identified; undefined if the call has none or a malformed one. */
    readonly key?: string;
    /** The fields with the key. They are forwarded only if the configuration has no client accounts. */
    readonly credentialFields?: HeaderFields;
    /** Fields to forward to targets, without connection-specific fields and those that only the system sets. */
    readonly forwardedFields: HeaderFields;
}

/** A caller's complete request. */
export interface ForwardedCall extends CallDescription {
    readonly method: string;
    readonly host: string;
    /** The request target as the caller sent it, with its query. */
    readonly url: string;
    readonly body: Buffer;
    /** Monotonic time at which the head was received. */
    readonly arrivedAt: number;
    /** Monotonic time until which the caller waits. */
    readonly deadline: number;
    /** Name of the caller's client account; undefined if the configuration has none, or the route needs no key. */
    readonly account?: string;
}

/** Where the KV cache that was computed for a request can be fetched. */
export interface KvSource {
    readonly address: string;
    readonly handle: string;
}

/** Parameters of sending a call to a target once. */
export interface SendTerms {
    /** Name of the target that the call is meant for. A target with another name refuses it. */
    readonly targetName: string;
    readonly remainingMilliseconds: number;
    /** Compute only the KV cache and retain it for another target. */
    readonly prefillOnly?: boolean;
    readonly kvSource?: KvSource;
    /** Address of an engine that has cached parts of the prompt. The target fetches those that it lacks from there. */
    readonly fetchKvFrom?: string;
    /** From 0 (most urgent) to 9. */
    readonly urgency?: number;
    /** Overrides the caller's value when the system itself continues an answer. */
    readonly lastEventId?: string;
}

/** The head of a request to a target. */
export interface OutgoingHead {
    readonly method: string;
    readonly path: string;
    readonly fields: HeaderFields;
}

/** Load that a target reported. */
export interface ReportedLoad {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
    /**
     * Duration of work at the target at this moment relative to the usual one, such as 1.5, as the target states it: it may
     * be NaN, negative or huge; undefined if the target states none.
     */
    readonly relativeDuration?: number;
}

/** Protocol-independent contents of the head of a target's answer. */
export interface ReplyHead {
    readonly status: number;
    /** Identifier of the call that is answered; undefined if the target does not echo it. */
    readonly callId?: string;
    /** Whether the target states that it did not run the call and never will. */
    readonly isNotRun: boolean;
    /** Whether the answer carries the target's mark that the target itself produced it. */
    readonly isStamped: boolean;
    readonly load?: ReportedLoad;
    /**
     * Requests a second that the target takes from all processes together, for as long as it names them; undefined if the
     * answer names none, NaN if it names something that is not a number of requests.
     */
    readonly requestLimit?: number;
    /** Whether the target states that it leaves and will take no new work. */
    readonly isLeaving: boolean;
    /**
     * Time for which a target that turned the call away wants no call of this process, in milliseconds from the answer;
     * undefined if the answer names none, NaN if it names something that is not a time.
     */
    readonly restMilliseconds?: number;
    /** Fields to forward to the caller. */
    readonly forwardedFields: HeaderFields;
}

/** Headers of an answer as parsed by undici. */
export type IncomingFields = Readonly<Record<string, string | readonly string[] | undefined>>;

/** Parses callers' requests. Adapters define the names of the header fields. */
export abstract class CallerProtocol {
    abstract describeCall(rawFields: readonly string[]): Result<CallDescription, Failure>;
}

/** Encodes requests to targets and parses their answers. Adapters define names and formats. */
export abstract class TargetProtocol {
    abstract encodeCall(call: ForwardedCall, terms: SendTerms): OutgoingHead;
    abstract readHead(status: number, fields: IncomingFields): ReplyHead;
    /** Parses the answer to a call that was sent with `prefillOnly`. */
    abstract readKvHandle(body: Buffer): Result<string, Failure>;
    /** Encodes the request that releases a KV cache that will not be fetched. */
    abstract encodeKvRelease(handle: string): OutgoingHead;
}

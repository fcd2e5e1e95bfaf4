import type { Failure } from "daisyturn-utils";
import type { Result } from "true-myth/result";
import type { Profile } from "../../version/configurationItems.js";

/** The properties of a request that routing uses. */
export interface RoutingRequest {
    readonly requestId: string;
    readonly partner: string;
    readonly profile: Profile;
    readonly promptTokens: number;
    readonly promptBlocks: readonly string[];
    readonly expectedOutputTokens: number;
    /** Wall-clock times in milliseconds. */
    readonly firstTokenDeadline: number;
    readonly totalDeadline: number;
    /** Engines on which this request has failed; used again only if no other engine is available. */
    readonly avoid: readonly string[];
    /** The only software version that may continue the answer; undefined while no token has been delivered. */
    readonly softwareVersion?: string;
}

/** How the part of a request that was sent to an engine ended, as seen by that engine. */
export enum PlacementOutcome {
    Completed = "completed",
    Cancelled = "cancelled",
    Refused = "refused",
    Failed = "failed",
}

/** What an engine reported at the end of a stream. */
export interface PlacementUsage {
    readonly promptTokens: number;
    /** Prompt tokens found in the engine's prefix cache. */
    readonly cachedTokens: number;
    readonly outputTokens: number;
}

/** The engines chosen for a request. Its methods keep the load view up to date; `end` must be called once. */
export interface Placement {
    /** The prefill engine if prefill and decode run on two engines. */
    readonly prefillEngine?: string;
    readonly engine: string;
    /** Software version of the engines; empty if they do not report one. */
    readonly softwareVersion: string;
    /** Wall-clock time in milliseconds. */
    readonly expectedFirstTokenAt: number;
    /** Records the id of a stream immediately before it is sent to an engine; load reports list streams by this id. */
    recordStream(engine: string, streamId: string): void;
    /** Records the end of the prefill if prefill and decode run on two engines. */
    recordPrefilled(usage?: PlacementUsage): void;
    recordFirstToken(): void;
    recordTokens(count: number): void;
    /** @param usage from the end marker of the stream, if there was one */
    end(outcome: PlacementOutcome, usage?: PlacementUsage): void;
}

/** Chooses engines for requests. */
export interface Router {
    /** NotRun failures: NoTarget, Overloaded or DeadlineUnreachable, with a realistic `retryAt`. */
    place(request: RoutingRequest): Result<Placement, Failure>;
}

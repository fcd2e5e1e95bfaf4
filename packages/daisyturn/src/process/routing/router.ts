import type { Failure } from "daisyturn-utils";
import type { Result } from "true-myth/result";
import type { Profile } from "../../version/configurationItems.js";

/** What routing needs to know of a request. */
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
    /** Engines that failed this request before; used again only if nothing else is left. */
    readonly avoid: readonly string[];
}

/** How a dispatched part of a request ended, as far as the engine is concerned. */
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

/** Where a request goes. Its calls keep the load view right; `end` must be called once. */
export interface Placement {
    /** Where the first part runs if prefill and decode are apart. */
    readonly prefillEngine?: string;
    readonly engine: string;
    /** Wall-clock time in milliseconds. */
    readonly expectedFirstTokenAt: number;
    /** Tells under which id a part goes to an engine, right before it is sent; reports name streams by it. */
    recordStream(engine: string, streamId: string): void;
    /** Where prefill and decode are apart: the prefill part is done. */
    recordPrefilled(usage?: PlacementUsage): void;
    recordFirstToken(): void;
    recordTokens(count: number): void;
    /** @param usage from the stream's end mark, where there was one */
    end(outcome: PlacementOutcome, usage?: PlacementUsage): void;
}

/** Chooses engines for requests. */
export interface Router {
    /** NotRun failures: NoTarget, Overloaded or DeadlineUnreachable, with an honest `retryAt`. */
    place(request: RoutingRequest): Result<Placement, Failure>;
}

import type { Failure } from "daisyturn-utils";
import type { Result } from "true-myth/result";
import type { Placement } from "../process/routing/index.js";
import { buildRoutingRequest } from "./admit.js";
import type { ModelRequest } from "./completion/modelRequest.js";
import type { RequestParts } from "./requestParts.js";

/**
 * Chooses the engines for a request, and avoids those that have failed it before.
 * @param softwareVersion the only one that may continue an answer that has begun
 */
export function place(
    parts: RequestParts,
    request: ModelRequest,
    avoid: readonly string[],
    softwareVersion: string | undefined,
): Result<Placement, Failure> {
    return parts.router.place(buildRoutingRequest(request, avoid, softwareVersion));
}

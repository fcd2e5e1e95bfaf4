import type { Failure } from "daisyturn-utils";
import type { Result } from "true-myth/result";
import type { AdmissionTicket } from "../process/admission/index.js";
import type { RoutingRequest } from "../process/routing/index.js";
import type { ModelRequest } from "./completion/modelRequest.js";
import type { RequestParts } from "./requestParts.js";

/** Admits a request; may wait until it is the partner's turn. */
export function admit(
    parts: RequestParts,
    request: ModelRequest,
    softwareVersion: string | undefined,
    signal: AbortSignal,
): Promise<Result<AdmissionTicket, Failure>> {
    const routingRequest = buildRoutingRequest(request, [], softwareVersion);
    return parts.admission.admitModelRequest(request.account, routingRequest, signal);
}

/** Builds the description of a request for routing and admission. */
export function buildRoutingRequest(
    request: ModelRequest,
    avoid: readonly string[],
    softwareVersion?: string,
): RoutingRequest {
    return {
        requestId: request.requestId,
        partner: request.account.partner,
        profile: request.profile,
        promptTokens: request.promptTokens,
        promptBlocks: request.promptBlocks,
        expectedOutputTokens: request.maxOutputTokens,
        firstTokenDeadline: request.firstTokenDeadline,
        totalDeadline: request.totalDeadline,
        avoid,
        softwareVersion,
    };
}

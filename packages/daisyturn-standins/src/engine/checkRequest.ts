import { EnginePhase, EngineRole, GeneratePart, type GenerateRequest } from "daisyturn";
import { type Failure, FailureReason, notRun } from "daisyturn-utils";
import { neededKvTokens } from "./batch/batchScheduler.js";
import type { EngineSettings } from "./engineOptions.js";
import type { EngineStream } from "./engineStream.js";
import type { OrderHandler } from "./orderHandler.js";

/** Returns why the engine refuses a request in its current state, or undefined if it accepts the request. */
export function findRefusal(orderHandler: OrderHandler, request: GenerateRequest): Failure | undefined {
    if (
        orderHandler.phase !== EnginePhase.Serving || orderHandler.draining
        || !servesPart(orderHandler.role, request.part)
    ) {
        return notRun(FailureReason.TargetRefused, "The engine takes no such work now.");
    }
    const hasAdapter = request.adapter === undefined || orderHandler.adapters.includes(request.adapter);
    if (!orderHandler.models.includes(request.model) || !hasAdapter) {
        return notRun(FailureReason.TargetRefused, "The engine has not loaded the model or adapter.");
    }
    return undefined;
}

/** Returns why no engine with these settings can serve a request, or undefined if one can. */
export function findRequestFault(stream: EngineStream, settings: EngineSettings): Failure | undefined {
    const { startOffset = 0, precedingText, part } = stream.request;
    if (neededKvTokens(stream) > settings.kvTokensCapacity) {
        return notRun(FailureReason.BadRequest, "The request needs more KV memory than there is.");
    }
    if (part !== GeneratePart.Prefill && startOffset > stream.targetTokens) {
        return notRun(FailureReason.BadRequest, "The start offset lies after the answer's end.");
    }
    if (precedingText !== undefined && precedingText !== stream.answer.text(0, startOffset)) {
        return notRun(FailureReason.BadRequest, "The preceding text is not the beginning of this answer.");
    }
    return undefined;
}

function servesPart(role: EngineRole, part: GeneratePart): boolean {
    switch (role) {
        case EngineRole.Mixed:
            return true;
        case EngineRole.Prefill:
            return part === GeneratePart.Prefill;
        case EngineRole.Decode:
            return part === GeneratePart.Decode;
    }
}

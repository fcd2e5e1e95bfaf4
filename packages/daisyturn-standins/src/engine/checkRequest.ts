import { EnginePhase, EngineRole, GeneratePart, type GenerateRequest } from "daisyturn";
import { type Failure, FailureReason, notRun } from "daisyturn-utils";
import { neededKvTokens } from "./batch/batchScheduler.js";
import type { EngineSettings } from "./engineOptions.js";
import type { EngineStream } from "./engineStream.js";
import type { OrderDesk } from "./orderDesk.js";

/** Why an engine in its present state does not take a request; undefined if it does. */
export function findRefusal(desk: OrderDesk, request: GenerateRequest): Failure | undefined {
    if (desk.phase !== EnginePhase.Serving || desk.draining || !servesPart(desk.role, request.part)) {
        return notRun(FailureReason.TargetRefused, "The engine takes no such work now.");
    }
    const hasAdapter = request.adapter === undefined || desk.adapters.includes(request.adapter);
    if (!desk.models.includes(request.model) || !hasAdapter) {
        return notRun(FailureReason.TargetRefused, "The engine has not loaded the model or adapter.");
    }
    return undefined;
}

/** Why a request can't be served by any engine of these settings; undefined if it can. */
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

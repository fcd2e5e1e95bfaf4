import type { Failure } from "daisyturn-utils";
import { err, type Result } from "true-myth/result";
import type { CallerExchange } from "../callerExchange.js";
import { identifyRequest, type RequestHead, serveWithPinnedVersion } from "../requestHead.js";
import type { RequestParts } from "../requestParts.js";
import { continueAnswer } from "../resumption/continueAnswer.js";
import { readResumeHeaders } from "../resumption/resumeHeaders.js";
import { type CompletionForm, parseCompletion } from "./parseCompletion.js";
import { serveModelRequest } from "./serveModelRequest.js";

/** Serves one completion request. With a resume token, continues an answer that was started before. */
export function handleCompletion(
    parts: RequestParts,
    exchange: CallerExchange,
    form: CompletionForm,
): Promise<Result<void, Failure>> {
    return serveWithPinnedVersion(parts, exchange, head => serveCompletion(parts, exchange, form, head));
}

async function serveCompletion(
    parts: RequestParts,
    exchange: CallerExchange,
    form: CompletionForm,
    head: RequestHead,
): Promise<Result<void, Failure>> {
    const resumeHeaders = readResumeHeaders(parts, exchange, head.account);
    if (resumeHeaders.isErr) {
        return err(resumeHeaders.error);
    }
    const text = await exchange.readBody();
    const request = text
        .andThen(body => parseCompletion(form, body))
        .andThen(body => identifyRequest(head, body));
    if (request.isErr) {
        return err(request.error);
    }
    return resumeHeaders.value
        ? continueAnswer(parts, exchange, { ...resumeHeaders.value, request: request.value, deadline: head.deadline })
        : serveModelRequest(parts, exchange, request.value);
}

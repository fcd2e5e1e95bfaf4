import { type Failure, FailureReason, notRun } from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import { z } from "zod";
import type { CallerExchange } from "../callerExchange.js";
import type { ModelRequest } from "../completion/modelRequest.js";
import { type CompletionForm, describeSchemaError, parseJson, readCompletion } from "../completion/parseCompletion.js";
import { identifyRequest, type RequestHead, serveWithPinnedVersion } from "../requestHead.js";
import type { RequestParts } from "../requestParts.js";
import { continueAnswer } from "./continueAnswer.js";
import { readResumeHeaders } from "./resumeHeaders.js";

const bodySchema = z.object({
    request: z.unknown(),
    received_text: z.string().optional(),
});

type ResumeBody = z.infer<typeof bodySchema>;

/** Serves `POST /v1/resume`, whose body may contain the original request and the text received so far. */
export function handleResume(parts: RequestParts, exchange: CallerExchange): Promise<Result<void, Failure>> {
    return serveWithPinnedVersion(parts, exchange, head => serveResumption(parts, exchange, head));
}

async function serveResumption(
    parts: RequestParts,
    exchange: CallerExchange,
    head: RequestHead,
): Promise<Result<void, Failure>> {
    const resumeHeaders = readResumeHeaders(parts, exchange, head.account);
    if (resumeHeaders.isErr) {
        return err(resumeHeaders.error);
    }
    if (!resumeHeaders.value) {
        return err(notRun(FailureReason.BadRequest, "The X-Resume-Token header is missing."));
    }
    const { ticket } = resumeHeaders.value;
    const text = await exchange.readBody();
    const body = text.andThen(readResumeBody);
    if (body.isErr) {
        return err(body.error);
    }
    const request = readOriginalRequest(head, ticket.form, body.value);
    if (request.isErr) {
        return err(request.error);
    }
    return continueAnswer(parts, exchange, {
        ...resumeHeaders.value,
        request: request.value,
        receivedText: body.value.received_text,
        deadline: head.deadline,
    });
}

function readResumeBody(text: string): Result<ResumeBody, Failure> {
    if (text === "") {
        return ok({ request: undefined });
    }
    const json = parseJson(text);
    if (json.isErr) {
        return err(json.error);
    }
    const parsed = bodySchema.safeParse(json.value);
    return parsed.success ? ok(parsed.data) : err(describeSchemaError(parsed.error));
}

function readOriginalRequest(
    head: RequestHead,
    form: CompletionForm,
    body: ResumeBody,
): Result<ModelRequest | undefined, Failure> {
    return body.request === undefined
        ? ok(undefined)
        : readCompletion(form, body.request).andThen(completion => identifyRequest(head, completion));
}

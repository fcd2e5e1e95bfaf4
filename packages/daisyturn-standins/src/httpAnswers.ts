import type { Refusal } from "daisyturn";
import { ExecutionVerdict, FailureReason } from "daisyturn-utils";
import type { IncomingMessage, ServerResponse } from "node:http";

const maxRequestBytes = 16_777_216;

/** Reads a request's body. Throws if the body is incomplete or larger than 16 MiB. */
export async function readBody(request: IncomingMessage): Promise<string> {
    const chunks: Buffer[] = [];
    let byteCount = 0;
    for await (const chunk of request as AsyncIterable<Buffer>) {
        byteCount += chunk.length;
        if (byteCount > maxRequestBytes) {
            throw new Error("The request's body is too large.");
        }
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
}

export function answerJson(
    response: ServerResponse,
    status: number,
    body: object,
    headers: Readonly<Record<string, string>> = {},
): void {
    const text = Buffer.from(JSON.stringify(body));
    response.writeHead(status, { ...headers, "content-type": "application/json", "content-length": text.length });
    response.end(text);
}

/** Answers with status 503 and the verdict that the request did not run and will not run. */
export function refuseNotRun(
    response: ServerResponse,
    reason: FailureReason,
    message: string,
    headers: Readonly<Record<string, string>> = {},
): void {
    const refusal: Refusal = { verdict: ExecutionVerdict.NotRun, reason, message };
    answerJson(response, 503, refusal, headers);
}

/** Answers with status 404. */
export function answerNotFound(response: ServerResponse, message: string): void {
    const refusal: Refusal = { verdict: ExecutionVerdict.MayHaveRun, reason: FailureReason.NotFound, message };
    answerJson(response, 404, refusal);
}

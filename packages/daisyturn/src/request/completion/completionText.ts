import { FinishReason, type StreamEnd } from "../../ports/engine.js";
import { CompletionForm } from "./parseCompletion.js";

/** Writes the JSON of one completion. Constant parts are built once, because a text is written for each event. */
export interface CompletionWriter {
    /** The first event of a stream, with its resume token. */
    opening(resumeToken?: string): string;
    /** An event without text that carries a new resume token, because the rest comes from another stream. */
    resumeTokenEvent(resumeToken: string): string;
    /** An event that carries tokens; `offset` is the number of tokens up to and including it. */
    tokens(text: string, offset: number): string;
    /** The last events of a stream. */
    closing(end: StreamEnd, includeUsage: boolean): string;
    /** The body of an answer that is not streamed. */
    whole(text: string, end: StreamEnd): string;
}

/** Identifying fields of a completion. */
export interface CompletionNames {
    readonly form: CompletionForm;
    readonly requestId: string;
    readonly serviceName: string;
    /** Wall-clock time in milliseconds. */
    readonly createdAt: number;
}

const millisecondsPerSecond = 1000;
const doneEvent = "data: [DONE]\n\n";

/** Creates the writer of one completion. */
export function createCompletionWriter(names: CompletionNames): CompletionWriter {
    const chat = names.form === CompletionForm.Chat;
    const head = (object: string) =>
        `{"id":${JSON.stringify(names.requestId)},"object":"${object}",`
        + `"created":${Math.floor(names.createdAt / millisecondsPerSecond)},`
        + `"model":${JSON.stringify(names.serviceName)},`;
    const chunkHead = head(chat ? "chat.completion.chunk" : "text_completion");
    const tokenHead = `data: ${chunkHead}"choices":[{"index":0,${chat ? "\"delta\":{\"content\":" : "\"text\":"}`;
    const tokenTail = `${chat ? "}" : ",\"logprobs\":null"},"finish_reason":null}]}\n\n`;

    const emptyChoice = chat ? "\"delta\":{}" : "\"text\":\"\",\"logprobs\":null";

    const emptyEvent = (choice: string, resumeToken?: string) => {
        const field = resumeToken === undefined ? "" : `,"resume_token":"${resumeToken}"`;
        return `data: ${chunkHead}"choices":[{"index":0,${choice},"finish_reason":null}]${field}}\n\n`;
    };

    const opening = (resumeToken?: string) =>
        emptyEvent(chat ? "\"delta\":{\"role\":\"assistant\",\"content\":\"\"}" : emptyChoice, resumeToken);

    const resumeTokenEvent = (resumeToken: string) => emptyEvent(emptyChoice, resumeToken);

    const tokens = (text: string, offset: number) => `id: ${offset}\n${tokenHead}${JSON.stringify(text)}${tokenTail}`;

    const closing = (end: StreamEnd, includeUsage: boolean) => {
        const last = `data: ${chunkHead}"choices":[{"index":0,${emptyChoice},"finish_reason":"${
            formatFinishReason(end)
        }"}]}\n\n`;
        const usage = includeUsage ? `data: ${chunkHead}"choices":[],"usage":${formatUsage(end)}}\n\n` : "";
        return `${last}${usage}${doneEvent}`;
    };

    const whole = (text: string, end: StreamEnd) => {
        const content = JSON.stringify(text);
        const choice = chat
            ? `"message":{"role":"assistant","content":${content},"refusal":null},"logprobs":null`
            : `"text":${content},"logprobs":null`;
        return `${head(chat ? "chat.completion" : "text_completion")}"choices":[{"index":0,${choice},`
            + `"finish_reason":"${formatFinishReason(end)}"}],"usage":${formatUsage(end)}}`;
    };

    return { opening, resumeTokenEvent, tokens, closing, whole };
}

function formatFinishReason(end: StreamEnd): string {
    return end.finishReason === FinishReason.Length ? "length" : "stop";
}

function formatUsage(end: StreamEnd): string {
    return JSON.stringify({
        prompt_tokens: end.promptTokens,
        completion_tokens: end.outputTokens,
        total_tokens: end.promptTokens + end.outputTokens,
        prompt_tokens_details: { cached_tokens: end.cachedTokens },
    });
}

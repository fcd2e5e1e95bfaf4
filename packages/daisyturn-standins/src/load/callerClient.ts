import { ExecutionVerdict } from "daisyturn-utils";
import { setTimeout as delay } from "node:timers/promises";
import { Agent, type Dispatcher, request } from "undici";
import { createEventStreamText } from "./eventStreamText.js";

/** How a caller's request ended. */
export enum CallOutcome {
    Answered = "answered",
    /** Refused with the verdict that the request did not run. */
    Refused = "refused",
    /** Failed with the verdict that the request may have run. */
    Unknown = "unknown",
    /** No final answer: the connection failed, or the stream ended early. */
    Lost = "lost",
}

/** Outcome and times of one request, as seen by the caller. */
export interface CallRecord {
    readonly outcome: CallOutcome;
    readonly text: string;
    readonly reason?: string;
    /** Number of times that the caller retried at the next entry process. */
    readonly moves: number;
    /** Monotonic times in milliseconds. */
    readonly startedAt: number;
    readonly firstTokenAt?: number;
    readonly endedAt: number;
    /** Longest time between two successive arrivals of text, in milliseconds. */
    readonly longestGap: number;
}

/** A request for a completion. */
export interface CompletionCall {
    readonly service: string;
    readonly prompt: string;
    readonly maxTokens: number;
}

/** A call of a plain service. */
export interface PlainCall {
    readonly method: "GET" | "POST";
    /** Path with the service's name, such as `/services/quotes/confirm`. */
    readonly path: string;
    readonly idempotencyKey?: string;
    readonly body?: string;
}

/** A caller of one partner. It retries at the next entry process if one fails. */
export interface CallerClient {
    complete(call: CompletionCall): Promise<CallRecord>;
    invoke(call: PlainCall): Promise<CallRecord>;
    close(): Promise<void>;
}

export interface CallerClientOptions {
    readonly key: string;
    /** Returns the addresses of the usable entry processes. Called before each attempt. */
    readonly entryUrls: () => readonly string[];
    /** Maximum number of attempts of one request, over all entry processes. */
    readonly maximumTries?: number;
}

interface Attempt {
    readonly outcome: CallOutcome;
    readonly text: string;
    readonly reason?: string;
    readonly firstTokenAt?: number;
    readonly longestGap: number;
    /** Delay in milliseconds before the next attempt, from the `retry-after` header. */
    readonly retryAfter?: number;
}

const defaultMaximumTries = 6;
const answerLimitMilliseconds = 60_000;
const millisecondsPerSecond = 1000;
const okStatus = 200;

/** Creates a caller. It uses the entry processes in round-robin order. */
export function createCallerClient(options: CallerClientOptions): CallerClient {
    const dispatcher = new Agent({ headersTimeout: answerLimitMilliseconds, bodyTimeout: answerLimitMilliseconds });
    const maximumTries = options.maximumTries ?? defaultMaximumTries;
    let turn = 0;

    const nextUrl = () => {
        const urls = options.entryUrls();
        turn += 1;
        return urls[turn % urls.length] ?? "";
    };

    const repeat = async (attemptOnce: (url: string) => Promise<Attempt>): Promise<CallRecord> => {
        const startedAt = performance.now();
        for (let moves = 0;; moves++) {
            const attempt = await attemptOnce(nextUrl());
            const isFinal = attempt.outcome === CallOutcome.Answered || moves + 1 >= maximumTries
                || attempt.outcome === CallOutcome.Unknown
                || attempt.outcome === CallOutcome.Refused && attempt.retryAfter === undefined;
            if (isFinal) {
                return { ...attempt, moves, startedAt, endedAt: performance.now() };
            }
            await delay(attempt.retryAfter ?? 0);
        }
    };

    const complete = (call: CompletionCall) => {
        const body = JSON.stringify({
            model: call.service,
            prompt: call.prompt,
            max_tokens: call.maxTokens,
            stream: true,
        });
        return repeat(url =>
            guardConnection(async () => {
                const answer = await request(`${url}/v1/completions`, {
                    method: "POST",
                    dispatcher,
                    headers: { authorization: `Bearer ${options.key}`, "content-type": "application/json" },
                    body,
                });
                return answer.statusCode === okStatus ? readStream(answer) : readRefusal(answer);
            })
        );
    };

    const invoke = (call: PlainCall) =>
        repeat(url =>
            guardConnection(async () => {
                const answer = await request(`${url}${call.path}`, {
                    method: call.method,
                    dispatcher,
                    headers: {
                        authorization: `Bearer ${options.key}`,
                        ...call.idempotencyKey === undefined ? {} : { "idempotency-key": call.idempotencyKey },
                        ...call.body === undefined ? {} : { "content-type": "application/json" },
                    },
                    body: call.body,
                });
                if (answer.statusCode !== okStatus) {
                    return readRefusal(answer);
                }
                return { outcome: CallOutcome.Answered, text: await answer.body.text(), longestGap: 0 };
            })
        );

    return { complete, invoke, close: () => dispatcher.close() };
}

/** Converts an error of the connection to an attempt that is lost, which is retried at the next entry process. */
async function guardConnection(attempt: () => Promise<Attempt>): Promise<Attempt> {
    try {
        return await attempt();
    }
    catch (error) {
        const reason = error instanceof Error ? error.message : String(error);
        return { outcome: CallOutcome.Lost, text: "", reason, longestGap: 0 };
    }
}

async function readStream(answer: Dispatcher.ResponseData): Promise<Attempt> {
    const collector = createEventStreamText();
    let firstTokenAt: number | undefined;
    let lastTokenAt: number | undefined;
    let longestGap = 0;
    const decoder = new TextDecoder();
    for await (const piece of answer.body) {
        if (!collector.append(decoder.decode(piece as Uint8Array, { stream: true }))) {
            continue;
        }
        const now = performance.now();
        firstTokenAt ??= now;
        longestGap = Math.max(longestGap, now - (lastTokenAt ?? now));
        lastTokenAt = now;
    }
    const { text, ended, errorText } = collector.result();
    if (errorText !== undefined) {
        return { ...classifyError(errorText), text, firstTokenAt, longestGap };
    }
    return { outcome: ended ? CallOutcome.Answered : CallOutcome.Lost, text, firstTokenAt, longestGap };
}

async function readRefusal(answer: Dispatcher.ResponseData): Promise<Attempt> {
    const text = await answer.body.text();
    const seconds = Number(answer.headers["retry-after"]);
    const retryAfter = Number.isFinite(seconds) ? seconds * millisecondsPerSecond : undefined;
    return { ...classifyError(text), text: "", longestGap: 0, retryAfter };
}

function classifyError(text: string): Pick<Attempt, "outcome" | "reason"> {
    const isNotRun = text.includes(`"verdict":"${ExecutionVerdict.NotRun}"`);
    return { outcome: isNotRun ? CallOutcome.Refused : CallOutcome.Unknown, reason: text };
}

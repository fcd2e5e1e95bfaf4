import { type Clock, ExecutionVerdict, type Failure, FailureReason, mayHaveRun, notRun } from "daisyturn-utils";
import Result from "true-myth/result";
import type { Dispatcher } from "undici";
import type { z } from "zod";
import {
    type CacheEventPage,
    Engine,
    type EngineOrder,
    type EngineState,
    GeneratePart,
    type GenerateRequest,
    type LoadReport,
    type OrderAnswer,
    type StreamEvent,
} from "../engine.js";
import { cacheEventPageSchema, engineStateSchema, loadReportSchema, orderAnswerSchema } from "./engineMessages.js";
import { AbortReason, createOperation, type Operation } from "./operation.js";
import { readEngineStream } from "./readEngineStream.js";
import { parseErrorAnswer, parseJson } from "./refusal.js";
import {
    createTargetHttpClient,
    type OpenedAnswer,
    readWhole,
    type TargetHttpOptions,
    type TargetRequest,
} from "./targetHttpClient.js";

/** Maximum size of a refusal, a state or another short answer. */
const maxShortAnswerBytes = 1_048_576;
const defaultMaxAnswerBytes = 67_108_864;
const defaultAcceptMilliseconds = 10_000;
const defaultSilenceMilliseconds = 10_000;
const defaultCancelMilliseconds = 5_000;
const cancelRetryDelayMilliseconds = 500;
/** Used for a resumed stream, because the token limit of its request is not known here. */
const unlimitedTokens = Number.MAX_SAFE_INTEGER;
/** Maximum duration of a resumed stream. */
const maxResumeMilliseconds = 86_400_000;

/** Options of the adapter to one engine. */
export interface HttpEngineOptions extends TargetHttpOptions {
    readonly engineId: string;
    /**
     * Connection pool for orders, which must not pass through other processes: there, their bytes could outlast the proof
     * that this process has ended. `dispatcher` if absent.
     */
    readonly orderDispatcher?: Dispatcher;
    /** Maximum wait for the engine to accept a request. */
    readonly acceptMilliseconds?: number;
    /** Maximum time without data on an accepted stream. The engine sends a waiting line more often than this. */
    readonly silenceMilliseconds?: number;
    /** Maximum time spent on cancelling at the engine after an abort. */
    readonly cancelMilliseconds?: number;
    readonly maxAnswerBytes?: number;
}

/** Creates the HTTP adapter to one engine. */
export function createHttpEngine(options: HttpEngineOptions): Engine {
    const { clock, engineId } = options;
    const client = createTargetHttpClient(options);
    const orderClient = options.orderDispatcher
        ? createTargetHttpClient({ ...options, dispatcher: options.orderDispatcher })
        : client;
    const silenceLimitMilliseconds = options.silenceMilliseconds ?? defaultSilenceMilliseconds;
    const acceptMilliseconds = options.acceptMilliseconds ?? defaultAcceptMilliseconds;
    const cancelMilliseconds = options.cancelMilliseconds ?? defaultCancelMilliseconds;
    const maxAnswerBytes = options.maxAnswerBytes ?? defaultMaxAnswerBytes;

    /** Sends a request whose answer is one JSON object. */
    const exchangeJson = async <T>(
        request: TargetRequest,
        deadline: number,
        schema: z.ZodType<T>,
        sender = client,
    ): Promise<Result<T, Failure>> => {
        const answer = await sender.exchange(request, createOperation({ clock, deadline }), maxShortAnswerBytes);
        if (answer.isErr) {
            return Result.err(answer.error);
        }
        if (answer.value.status !== 200) {
            return Result.err(parseErrorAnswer(answer.value.status, answer.value.body));
        }
        const parsed = schema.safeParse(parseJson(answer.value.body));
        return parsed.success ? Result.ok(parsed.data) : Result.err(createInvalidAnswerFailure());
    };

    /** Rejects an answer of another engine, since the address may have been reassigned. */
    const readFromEngine = async <T extends { engineId: string; }>(
        path: string,
        deadline: number,
        schema: z.ZodType<T>,
    ): Promise<Result<T, Failure>> => {
        const answer = await exchangeJson({ method: "GET", path }, deadline, schema);
        return answer.isOk && answer.value.engineId !== engineId ? Result.err(createInvalidAnswerFailure()) : answer;
    };

    const openStream = async (request: TargetRequest, operation: Operation): Promise<Result<OpenedAnswer, Failure>> => {
        const accepting = new AbortController();
        void limitAcceptance(clock, acceptMilliseconds, operation, accepting.signal);
        const opened = await client.open(request, operation);
        // Without a reason, abort would create an error with a stack trace.
        accepting.abort("accepted");
        if (opened.isErr || opened.value.status === 200) {
            return opened;
        }
        const refused = await readWhole(opened.value, operation, maxShortAnswerBytes);
        return Result.err(refused.isOk ? parseErrorAnswer(refused.value.status, refused.value.body) : refused.error);
    };

    class HttpEngine extends Engine {
        override readonly engineId = engineId;

        override async generate(
            request: GenerateRequest,
            signal: AbortSignal,
        ): Promise<Result<AsyncIterable<StreamEvent>, Failure>> {
            const deadline = clock.monotonicNow() + request.deadline - clock.wallNow();
            if (signal.aborted || deadline <= clock.monotonicNow()) {
                return Result.err(createUnsentFailure(signal));
            }
            const operation = createOperation({ clock, deadline, signal, silenceLimitMilliseconds });
            const opened = await openStream(jsonRequest("POST", "/generate", request), operation);
            if (opened.isErr && opened.error.verdict === ExecutionVerdict.NotRun) {
                operation.end();
                return Result.err(opened.error);
            }
            this.cancelOnAbort(request.streamId, operation);
            if (opened.isErr) {
                operation.end();
                return Result.err(opened.error);
            }
            return Result.ok(readEngineStream(opened.value, {
                streamId: request.streamId,
                isPrefill: request.part === GeneratePart.Prefill,
                startOffset: request.startOffset ?? 0,
                maxOutputTokens: request.maxOutputTokens,
                maxAnswerBytes,
                operation,
            }));
        }

        override async resume(
            streamId: string,
            offset: number,
            signal: AbortSignal,
        ): Promise<Result<AsyncIterable<StreamEvent>, Failure>> {
            const deadline = clock.monotonicNow() + maxResumeMilliseconds;
            const operation = createOperation({ clock, deadline, signal, silenceLimitMilliseconds });
            const path = `${streamPath(streamId)}?offset=${offset}`;
            const opened = await openStream({ method: "GET", path }, operation);
            if (opened.isErr) {
                operation.end();
                // The stream was started earlier, so a failure to attach does not prove that it did not run.
                return Result.err(mayHaveRun(opened.error.reason, opened.error.message, opened.error.retryAt));
            }
            return Result.ok(readEngineStream(opened.value, {
                streamId,
                isPrefill: false,
                startOffset: offset,
                maxOutputTokens: unlimitedTokens,
                maxAnswerBytes,
                operation,
            }));
        }

        override async cancel(streamId: string, deadline: number): Promise<Result<void, Failure>> {
            const request = { method: "DELETE", path: streamPath(streamId) };
            const answer = await client.exchange(request, createOperation({ clock, deadline }), maxShortAnswerBytes);
            if (answer.isErr) {
                return Result.err(answer.error);
            }
            const { status, body } = answer.value;
            return status === 204 ? Result.ok(undefined) : Result.err(parseErrorAnswer(status, body));
        }

        override async order(order: EngineOrder, deadline: number): Promise<Result<OrderAnswer, Failure>> {
            const answer = await exchangeJson(
                jsonRequest("POST", "/order", order),
                deadline,
                orderAnswerSchema,
                orderClient,
            );
            if (answer.isErr) {
                return Result.err(answer.error);
            }
            const isOwn = answer.value.orderId === order.orderId;
            return isOwn ? Result.ok(answer.value.answer) : Result.err(createInvalidAnswerFailure());
        }

        override readState(deadline: number): Promise<Result<EngineState, Failure>> {
            return readFromEngine("/state", deadline, engineStateSchema);
        }

        override readLoad(deadline: number): Promise<Result<LoadReport, Failure>> {
            return readFromEngine("/load", deadline, loadReportSchema);
        }

        override readCacheEvents(cursor: number, deadline: number): Promise<Result<CacheEventPage, Failure>> {
            return exchangeJson(
                { method: "GET", path: `/cache-events?cursor=${cursor}` },
                deadline,
                cacheEventPageSchema,
            );
        }

        /** Retries failed cancellations, since otherwise the engine would continue until the request's deadline. */
        private async cancelWithRetries(streamId: string, deadline: number): Promise<void> {
            while (clock.monotonicNow() < deadline && (await this.cancel(streamId, deadline)).isErr) {
                await clock.sleepUntil(Math.min(deadline, clock.monotonicNow() + cancelRetryDelayMilliseconds));
            }
        }

        /** Closing the connection alone does not end the work, since a caller may resume it at another entry VM. */
        private cancelOnAbort(streamId: string, operation: Operation): void {
            const cancel = () => void this.cancelWithRetries(streamId, clock.monotonicNow() + cancelMilliseconds);
            if (operation.signal.aborted) {
                cancel();
            }
            else {
                operation.signal.addEventListener("abort", cancel, { once: true });
            }
        }
    }
    return new HttpEngine();
}

async function limitAcceptance(
    clock: Clock,
    acceptMilliseconds: number,
    operation: Operation,
    accepted: AbortSignal,
): Promise<void> {
    await clock.sleepUntil(clock.monotonicNow() + acceptMilliseconds, accepted);
    if (!accepted.aborted) {
        operation.stop(AbortReason.Silent);
    }
}

function createUnsentFailure(signal: AbortSignal): Failure {
    return signal.aborted
        ? notRun(FailureReason.Cancelled, "Cancelled before the request was sent.")
        : notRun(FailureReason.DeadlinePassed, "The deadline passed before the request was sent.");
}

function createInvalidAnswerFailure(): Failure {
    return mayHaveRun(FailureReason.TargetFailed, "The engine's answer can't be read or is not its own.");
}

function jsonRequest(method: string, path: string, body: object): TargetRequest {
    return { method, path, headers: { "content-type": "application/json" }, body: JSON.stringify(body) };
}

function streamPath(streamId: string): string {
    return `/streams/${encodeURIComponent(streamId)}`;
}

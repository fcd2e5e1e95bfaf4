import { type Clock, ExecutionVerdict, type Failure, FailureReason, mayHaveRun, notRun } from "daisyturn-utils";
import Result from "true-myth/result";
import type { Dispatcher } from "undici";
import { createByteCollector } from "../../connection/bytes/createByteCollector.js";
import { passReadBarrier, type ReadBarrier } from "../../connection/createReadBarrier.js";
import { isChunked } from "../../connection/target/isChunked.js";
import { type RequestProgress, trackRequestProgress } from "./client/requestProgress.js";
import { AbortReason, type Operation } from "./operation.js";
import { createTargetDispatcher } from "./targetDispatcher.js";

/** Connection options of one target. */
export interface TargetHttpOptions {
    /** `http://address:port` or `https://address:port`. */
    readonly url: string;
    readonly clock: Clock;
    /** Connection pool shared by several adapters. If absent, the adapter creates its own. */
    readonly dispatcher?: Dispatcher;
    /** Passed before each send, so that nothing is sent for callers who have left. If absent, requests are sent at once. */
    readonly readBarrier?: ReadBarrier;
}

/** One request to a target. */
export interface TargetRequest {
    readonly method: string;
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
}

/** The head of an answer, and its unread body. */
export interface OpenedAnswer {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly body: Dispatcher.ResponseData["body"];
}

/** A complete answer. */
export interface WholeAnswer {
    readonly status: number;
    readonly headers: OpenedAnswer["headers"];
    readonly body: string;
}

/** Sends requests to one target over HTTP and determines the verdict of each failure. */
export interface TargetHttpClient {
    /** Sends a request and resolves when the head of the answer arrives. The caller must end the operation. */
    open(request: TargetRequest, operation: Operation): Promise<Result<OpenedAnswer, Failure>>;
    /** Sends a request, reads the complete answer of at most `maxBytes`, and ends the operation. */
    exchange(request: TargetRequest, operation: Operation, maxBytes: number): Promise<Result<WholeAnswer, Failure>>;
}

export function createTargetHttpClient(options: TargetHttpOptions): TargetHttpClient {
    const dispatcher = trackRequestProgress(options.dispatcher ?? createTargetDispatcher());

    const mayStart = () => options.readBarrier?.isPassed(-Infinity) ?? true;

    /** A process that was paused since the last read passes the barrier again: its caller may have left in the meantime. */
    const send = async (
        request: TargetRequest,
        operation: Operation,
        progress: RequestProgress,
    ): Promise<Result<OpenedAnswer, Failure>> => {
        let result = await sendOnce(request, operation, progress);
        while (result.isErr && progress.rejected && !progress.abandoned) {
            progress.rejected = false;
            result = await sendOnce(request, operation, progress);
        }
        return result;
    };

    const sendOnce = async (
        request: TargetRequest,
        operation: Operation,
        progress: RequestProgress,
    ): Promise<Result<OpenedAnswer, Failure>> => {
        if (options.readBarrier) {
            await passReadBarrier(options.readBarrier, options.clock);
        }
        try {
            const answer = await dispatcher.request({
                origin: options.url,
                path: request.path,
                method: request.method,
                headers: request.headers,
                body: request.body,
                signal: operation.signal,
                opaque: progress,
            });
            operation.recordActivity();
            return Result.ok({ status: answer.statusCode, headers: answer.headers, body: answer.body });
        }
        catch (error) {
            const verdict = progress.started ? ExecutionVerdict.MayHaveRun : ExecutionVerdict.NotRun;
            return Result.err(describeFailure(error, operation, verdict));
        }
    };

    const open = (request: TargetRequest, operation: Operation): Promise<Result<OpenedAnswer, Failure>> => {
        const progress: RequestProgress = { started: false, abandoned: false, mayStart };
        return Promise.race([send(request, operation, progress), resolveWhenAbandoned(operation, progress)]);
    };

    const exchange = async (request: TargetRequest, operation: Operation, maxBytes: number) => {
        const opened = await open(request, operation);
        const answer = opened.isOk ? await readWhole(opened.value, operation, maxBytes) : opened;
        operation.end();
        return answer as Result<WholeAnswer, Failure>;
    };

    return { open, exchange };
}

/**
 * Resolves when the operation is stopped before the request was started. undici checks the signal only once a
 * connection is established, which would delay a caller's abort until the connection attempt times out.
 */
function resolveWhenAbandoned(operation: Operation, progress: RequestProgress): Promise<Result<OpenedAnswer, Failure>> {
    return new Promise(resolve => {
        const abandon = () => {
            if (!progress.started) {
                progress.abandoned = true;
                resolve(Result.err(describeFailure(undefined, operation, ExecutionVerdict.NotRun)));
            }
        };
        if (operation.signal.aborted) {
            abandon();
        }
        operation.signal.addEventListener("abort", abandon, { once: true });
    });
}

/** Reads the body of an answer. */
export async function readWhole(
    answer: OpenedAnswer,
    operation: Operation,
    maxBytes: number,
): Promise<Result<WholeAnswer, Failure>> {
    const { status, headers } = answer;
    if (!hasFramedBody(answer)) {
        answer.body.destroy();
        return Result.err(mayHaveRun(FailureReason.TargetFailed, "The answer's length is not given."));
    }
    const collected = createByteCollector({ maxBytes });
    try {
        for await (const chunk of answer.body as AsyncIterable<Buffer>) {
            operation.recordActivity();
            if (collected.add(chunk)) {
                return Result.err(mayHaveRun(FailureReason.BodyTooLarge, `The answer exceeds ${maxBytes} bytes.`));
            }
        }
    }
    catch (error) {
        return Result.err(describeFailure(error, operation, ExecutionVerdict.MayHaveRun));
    }
    return Result.ok({ status, headers, body: collected.join().toString("utf8") });
}

/**
 * Whether a truncated body can be detected. A body that is delimited by the end of the connection looks complete
 * wherever it is truncated, so it is never accepted.
 */
function hasFramedBody(answer: OpenedAnswer): boolean {
    const bodyless = answer.status === 204 || answer.status === 304;
    return bodyless || isChunked(answer.headers["transfer-encoding"]) || answer.headers["content-length"] !== undefined;
}

const failureByAbortReason: Record<AbortReason, FailureReason> = {
    [AbortReason.Cancelled]: FailureReason.Cancelled,
    [AbortReason.DeadlinePassed]: FailureReason.DeadlinePassed,
    [AbortReason.Silent]: FailureReason.TargetFailed,
};

/** Converts a connection error to a failure. It contains only the error's code: the message may hold caller data. */
export function describeFailure(error: unknown, operation: Operation, verdict: ExecutionVerdict): Failure {
    const cause = operation.cause();
    const reason = cause === undefined ? FailureReason.TargetFailed : failureByAbortReason[cause];
    const code = (error as { code?: string; } | undefined)?.code ?? "unknown error";
    const message = cause === undefined ? `The connection to the target failed: ${code}.` : `Stopped: ${cause}.`;
    return verdict === ExecutionVerdict.NotRun ? notRun(reason, message) : mayHaveRun(reason, message);
}

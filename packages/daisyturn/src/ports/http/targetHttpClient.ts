import { type Clock, ExecutionVerdict, type Failure, FailureReason, mayHaveRun, notRun } from "daisyturn-utils";
import Result from "true-myth/result";
import type { Dispatcher } from "undici";
import { AbortReason, type Operation } from "./operation.js";
import { type RequestProgress, trackRequestProgress } from "./requestProgress.js";
import { createTargetDispatcher } from "./targetDispatcher.js";

/** How one target is reached. */
export interface TargetHttpOptions {
    /** `http://address:port` or `https://address:port`. */
    readonly url: string;
    readonly clock: Clock;
    /** Connections shared by several adapters; absent: the adapter's own. */
    readonly dispatcher?: Dispatcher;
}

/** One request to a target. */
export interface TargetRequest {
    readonly method: string;
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
}

/** The head of an answer, and its body still to be read. */
export interface OpenedAnswer {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly body: Dispatcher.ResponseData["body"];
}

/** An answer read whole. */
export interface WholeAnswer {
    readonly status: number;
    readonly headers: OpenedAnswer["headers"];
    readonly body: string;
}

/** Sends requests to one target over HTTP and gives each failure its verdict. */
export interface TargetHttpClient {
    /** Sends a request; resolves once the head of the answer is there. The operation must be ended by the caller. */
    open(request: TargetRequest, operation: Operation): Promise<Result<OpenedAnswer, Failure>>;
    /** Sends a request and reads the whole answer, at most `maxBytes` of it; ends the operation. */
    exchange(request: TargetRequest, operation: Operation, maxBytes: number): Promise<Result<WholeAnswer, Failure>>;
}

/** Creates the client of one target. */
export function createTargetHttpClient(options: TargetHttpOptions): TargetHttpClient {
    const dispatcher = trackRequestProgress(options.dispatcher ?? createTargetDispatcher());

    const send = async (
        request: TargetRequest,
        operation: Operation,
        progress: RequestProgress,
    ): Promise<Result<OpenedAnswer, Failure>> => {
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
        const progress: RequestProgress = { started: false, abandoned: false };
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
 * Resolves when the operation is stopped before the request was begun. undici heeds a signal only once a connection is
 * there, which would hold a caller's abort up until the connection times out.
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

/** Reads the rest of an answer. */
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
    const chunks: Buffer[] = [];
    let byteCount = 0;
    try {
        for await (const chunk of answer.body as AsyncIterable<Buffer>) {
            operation.recordActivity();
            byteCount += chunk.length;
            if (byteCount > maxBytes) {
                return Result.err(mayHaveRun(FailureReason.BodyTooLarge, `The answer exceeds ${maxBytes} bytes.`));
            }
            chunks.push(chunk);
        }
    }
    catch (error) {
        return Result.err(describeFailure(error, operation, ExecutionVerdict.MayHaveRun));
    }
    return Result.ok({ status, headers, body: Buffer.concat(chunks).toString("utf8") });
}

/**
 * Whether a cut can be told from the end. A body that lasts until the connection closes looks whole wherever it is
 * cut, so it is never taken for an answer.
 */
function hasFramedBody(answer: OpenedAnswer): boolean {
    const bodyless = answer.status === 204 || answer.status === 304;
    const chunked = String(answer.headers["transfer-encoding"] ?? "").toLowerCase().includes("chunked");
    return bodyless || chunked || answer.headers["content-length"] !== undefined;
}

const failureByAbortReason: Record<AbortReason, FailureReason> = {
    [AbortReason.Cancelled]: FailureReason.Cancelled,
    [AbortReason.DeadlinePassed]: FailureReason.DeadlinePassed,
    [AbortReason.Silent]: FailureReason.TargetFailed,
};

/** Puts an error of the connection into words. Only its code is told: a message may hold what a caller wrote. */
export function describeFailure(error: unknown, operation: Operation, verdict: ExecutionVerdict): Failure {
    const cause = operation.cause();
    const reason = cause === undefined ? FailureReason.TargetFailed : failureByAbortReason[cause];
    const code = (error as { code?: string; } | undefined)?.code ?? "unknown error";
    const message = cause === undefined ? `The connection to the target failed: ${code}.` : `Stopped: ${cause}.`;
    return verdict === ExecutionVerdict.NotRun ? notRun(reason, message) : mayHaveRun(reason, message);
}

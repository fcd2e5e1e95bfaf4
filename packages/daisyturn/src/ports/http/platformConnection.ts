import { type Clock, createInterruption, type Failure, FailureReason, mayHaveRun, notRun } from "daisyturn-utils";
import type { Socket } from "node:net";
import { err, type Result } from "true-myth/result";
import { buildConnector, Pool } from "undici";
import { boundReads } from "../../connection/bytes/boundReads.js";
import { collectBytes } from "../../connection/bytes/collectBytes.js";
import { createReadTurns } from "../../connection/bytes/createReadTurns.js";
import { ByteSource } from "../../process/forwarding/index.js";
import { failAfterReset } from "./client/failAfterReset.js";
import { createObservedClient } from "./client/observedClient.js";
import { type RequestProgress, trackRequestProgress } from "./client/requestProgress.js";

/** Reason of aborts, which would otherwise create an error with a stack trace for each request. */
const exchangeEnded = new Error("the exchange with the platform has ended");

/** Address of a platform service and limits of the connections to it. */
export interface HttpPlatformOptions {
    /** Origin of the platform's HTTP service, such as `http://10.0.0.5:7000`. */
    readonly url: string;
    readonly clock: Clock;
    /** Maximum number of connections to the service. */
    readonly connections?: number;
    /** Connection timeout in milliseconds; undici's default if absent. */
    readonly connectMilliseconds?: number;
    /**
     * Whether the connection of a request that is aborted is reset, so that the system does not send the request's bytes
     * later. By default, it is closed.
     */
    readonly resetsAborted?: boolean;
    /** Bytes of the body of an answer. A longer answer is a failure. */
    readonly maxAnswerBytes?: number;
}

/** One HTTP request to the platform. */
export interface PlatformRequest {
    readonly method: "GET" | "POST" | "PUT";
    readonly path: string;
    readonly contentType?: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
    /** Checked immediately before the first byte is written; the request is not sent if it returns false. */
    readonly mayStart?: () => boolean;
}

/** The platform's complete HTTP answer, of any status. */
export interface PlatformAnswer {
    readonly status: number;
    readonly body: string;
    /** Header fields, keyed by lower-case name. */
    readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>;
}

/** HTTP connections to the platform, shared by the adapters. */
export interface PlatformConnection {
    /**
     * Sends a request and reads the complete answer. A failure with NotRun means that no byte was sent. Any other
     * failure means that the request may run, now or later.
     * @param deadline monotonic time
     */
    send(request: PlatformRequest, deadline: number): Promise<Result<PlatformAnswer, Failure>>;
    close(): Promise<void>;
}

/** Enough for a few seconds of a process's writes while the store is slow. Further requests wait unsent. */
const defaultConnections = 128;
const keepAliveMilliseconds = 4_000;
/** A page of the store holds a few hundred rows, the largest of which is a configuration. */
const defaultMaxAnswerBytes = 8 * 1024 * 1024;
/** undici holds this many bytes in the pieces in which they arrived, and reads no more until they are collected. */
const heldPieceBytes = 4 * 1024;

/** Creates the connection pool of one platform service. Connections are opened on demand. */
export function createPlatformConnection(options: HttpPlatformOptions): PlatformConnection {
    const pool = new Pool(options.url, {
        connections: options.connections ?? defaultConnections,
        pipelining: 1,
        factory: (origin, clientOptions) => createObservedClient(origin, clientOptions, failAfterReset),
        connect: createConnector(options),
        keepAliveTimeout: keepAliveMilliseconds,
        keepAliveMaxTimeout: keepAliveMilliseconds,
        // Each call has its own deadline.
        headersTimeout: 0,
        bodyTimeout: 0,
    });
    const dispatcher = trackRequestProgress(pool);
    const maxBytes = options.maxAnswerBytes ?? defaultMaxAnswerBytes;

    const exchange = async (
        request: PlatformRequest,
        progress: RequestProgress,
        signal: AbortSignal,
    ): Promise<Result<PlatformAnswer, Failure>> => {
        const response = await dispatcher.request({
            origin: options.url,
            method: request.method,
            path: request.path,
            headers: {
                ...request.headers,
                ...(request.contentType !== undefined && { "content-type": request.contentType }),
            },
            body: request.body,
            signal,
            opaque: progress,
            highWaterMark: heldPieceBytes,
        });
        const { statusCode: status, headers } = response;
        const collected = await collectBytes(response.body as AsyncIterable<Buffer>, maxBytes, options.clock);
        return collected
            .map(bytes => ({ status, headers, body: bytes.toString("utf8") }))
            .mapErr(() => mayHaveRun(FailureReason.BodyTooLarge, `the platform's answer exceeds ${maxBytes} bytes`));
    };

    const send = async (
        request: PlatformRequest,
        deadline: number,
    ): Promise<Result<PlatformAnswer, Failure>> => {
        if (deadline <= options.clock.monotonicNow()) {
            return err(notRun(FailureReason.DeadlinePassed, "the deadline had passed before the platform was asked"));
        }
        const progress: RequestProgress = { started: false, abandoned: false, mayStart: request.mayStart };
        const timeout = new AbortController();
        const answered = createInterruption();
        const describe = () => err<PlatformAnswer, Failure>(describeFailedSend(progress));
        // If a request waits for a connection, undici reports its abort only once the connection is free (it does not
        // send the request then). So the deadline resolves independently of undici.
        const timedOut = options.clock.sleepUntil(deadline, answered.signal).then(describe);
        const exchanged = exchange(request, progress, timeout.signal).catch(describe);
        const result = await Promise.race([exchanged, timedOut]);
        // A request that was reported as not sent must not be sent later.
        progress.abandoned = true;
        answered.interrupt();
        timeout.abort(exchangeEnded);
        return result;
    };

    return { send, close: () => pool.destroy() };
}

function createConnector({ connectMilliseconds: timeout, resetsAborted }: HttpPlatformOptions) {
    const connect = buildConnector(timeout === undefined ? {} : { timeout });
    const turns = createReadTurns();
    const connector: buildConnector.connector = (target, onConnected) =>
        connect(target, (...result) => {
            const [, socket] = result;
            if (socket) {
                boundReads(socket, turns, ByteSource.Store);
            }
            if (socket && resetsAborted) {
                resetOnError(socket);
            }
            onConnected(...result);
        });
    return connector;
}

/** Resets a socket when undici destroys it with an error, as it does when a request in progress is aborted. */
function resetOnError(socket: Socket): void {
    const destroy = socket.destroy.bind(socket);
    let isReset = false;
    socket.destroy = error => {
        // Node.js 20 can't reset a socket on which `end()` has been called.
        if (!error || isReset || socket.writableEnded) {
            return destroy(error);
        }
        isReset = true;
        socket.resetAndDestroy();
        return socket;
    };
}

function describeFailedSend(progress: RequestProgress): Failure {
    return progress.started
        ? mayHaveRun(FailureReason.OutcomeUnknown, "the platform did not answer in time or broke the connection")
        : notRun(FailureReason.StoreUnavailable, "no connection to the platform");
}

import { type Clock, type Failure, FailureReason, mayHaveRun, notRun } from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import { Pool } from "undici";
import { type RequestProgress, trackRequestProgress } from "./requestProgress.js";

/** Where the platform answers, and how much is asked of it at once. */
export interface HttpPlatformOptions {
    /** Origin of the platform's HTTP service, such as `http://10.0.0.5:7000`. */
    readonly url: string;
    readonly clock: Clock;
    /** Connections kept to the service at most. */
    readonly connections?: number;
    /** Milliseconds within which a connection is made or given up; undici's own limit where absent. */
    readonly connectMilliseconds?: number;
}

/** One HTTP request to the platform. */
export interface PlatformRequest {
    readonly method: "GET" | "POST" | "PUT";
    readonly path: string;
    readonly contentType?: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
}

/** The platform's whole HTTP answer, whatever its status. */
export interface PlatformAnswer {
    readonly status: number;
    readonly body: string;
    /** Header fields, keyed by lower-case name. */
    readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>;
}

/** HTTP connections to the platform, shared by the adapters. */
export interface PlatformConnection {
    /**
     * Sends a request and reads the whole answer. A failure with NotRun means that no byte was sent; any other means
     * that the request may have run, now or later.
     * @param deadline monotonic time
     */
    send(request: PlatformRequest, deadline: number): Promise<Result<PlatformAnswer, Failure>>;
    close(): Promise<void>;
}

/** Enough for a few seconds of a process's writes while the store is slow; what waits beyond them is not sent. */
const defaultConnections = 128;
/** Milliseconds for which an unused connection is kept. */
const keepAliveMilliseconds = 4_000;

/** Creates the connections to one platform service. Connections are made when first needed. */
export function createPlatformConnection(options: HttpPlatformOptions): PlatformConnection {
    const pool = new Pool(options.url, {
        connections: options.connections ?? defaultConnections,
        pipelining: 1,
        ...(options.connectMilliseconds !== undefined && { connect: { timeout: options.connectMilliseconds } }),
        keepAliveTimeout: keepAliveMilliseconds,
        keepAliveMaxTimeout: keepAliveMilliseconds,
        // Each call has its own deadline.
        headersTimeout: 0,
        bodyTimeout: 0,
    });
    const dispatcher = trackRequestProgress(pool);

    const exchange = async (
        request: PlatformRequest,
        progress: RequestProgress,
        signal: AbortSignal,
    ): Promise<PlatformAnswer> => {
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
        });
        return { status: response.statusCode, body: await response.body.text(), headers: response.headers };
    };

    const send = async (
        request: PlatformRequest,
        deadline: number,
    ): Promise<Result<PlatformAnswer, Failure>> => {
        if (deadline <= options.clock.monotonicNow()) {
            return err(notRun(FailureReason.DeadlinePassed, "the deadline had passed before the platform was asked"));
        }
        const progress: RequestProgress = { started: false, abandoned: false };
        const timeout = new AbortController();
        const answered = new AbortController();
        const describe = () => err<PlatformAnswer, Failure>(describeFailedSend(progress));
        // undici tells of the abort of a request that waits for a connection only once the connection is free, though
        // it does not send it then. So the deadline answers by itself.
        const timedOut = options.clock.sleepUntil(deadline, answered.signal).then(describe);
        const exchanged = exchange(request, progress, timeout.signal).then(
            answer => ok<PlatformAnswer, Failure>(answer),
            describe,
        );
        const result = await Promise.race([exchanged, timedOut]);
        // What was told as not sent must not be sent afterwards.
        progress.abandoned = true;
        answered.abort();
        timeout.abort();
        return result;
    };

    return { send, close: () => pool.destroy() };
}

function describeFailedSend(progress: RequestProgress): Failure {
    return progress.started
        ? mayHaveRun(FailureReason.OutcomeUnknown, "the platform did not answer in time or broke the connection")
        : notRun(FailureReason.StoreUnavailable, "no connection to the platform");
}

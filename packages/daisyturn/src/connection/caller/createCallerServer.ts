import { EventKind, type Failure, FailureReason, mayHaveRun } from "daisyturn-utils";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { createRetryBudget, defaultRetryBudget } from "../../process/admission/index.js";
import type { RequestParts } from "../../request/requestParts.js";
import { createResumeTokens } from "../../request/resumption/resumeToken.js";
import { createReadTurns } from "../bytes/createReadTurns.js";
import { listenWhenFree } from "../listenWhenFree.js";
import type { CallerConnection } from "./callerConnection.js";
import { type CallerServerOptions, defaultCallerLimits } from "./callerServerOptions.js";
import { createCallerListener } from "./createCallerListener.js";
import { createListenerLog } from "./createListenerLog.js";
import { createHttpExchange, type HttpExchange } from "./httpExchange.js";
import { refuseExchange, serveExchange } from "./serveExchange.js";
import { validateHeaderFields } from "./validateHeaderFields.js";

/** The server for callers. */
export interface CallerServer {
    /** Listens once the address is free. Rejects if `signal` is aborted before. */
    start(signal?: AbortSignal): Promise<{ readonly port: number; }>;
    /**
     * Stops gracefully. The process first reports itself as not ready and accepts requests until the load balancer has
     * detected that. It then refuses new requests and completes the running ones.
     * @param deadline monotonic time after which running requests are aborted
     */
    drain(deadline: number): Promise<void>;
    /** Reads nothing more, aborts running requests, and resolves once their callers have been told. */
    stop(): Promise<void>;
}

enum ServerPhase {
    Serving,
    /** Requests are still accepted, but `/readyz` reports that the process is not ready. */
    NotReady,
    Refusing,
}

/** Time in which the answers of aborted requests reach the kernel. */
const flushMilliseconds = 200;

/** Creates the server for callers. */
export function createCallerServer(options: CallerServerOptions): CallerServer {
    const { clock, eventLog } = options;
    const limits = { ...defaultCallerLimits, ...options.limits };
    const parts: RequestParts = {
        ...options,
        retryBudget: createRetryBudget(options.retries ?? defaultRetryBudget, options.countProcesses ?? (() => 1)),
        resumeTokens: createResumeTokens(options.resumeKeys, clock),
    };
    const running = new Set<HttpExchange>();
    let reservedBodyBytes = 0;
    let phase = ServerPhase.Serving;
    let notifyIdle: (() => void) | undefined;

    const serve = async (
        incoming: IncomingMessage,
        outgoing: ServerResponse,
        connection: CallerConnection,
    ) => {
        let bodyBytes = 0;
        const exchange = createHttpExchange(incoming, outgoing, {
            requestId: options.ids.next("req"),
            limits,
            connection,
            reserveBody: byteCount => {
                bodyBytes += byteCount;
                reservedBodyBytes += byteCount;
                return reservedBodyBytes <= limits.maxTotalBodyBytes;
            },
            isClosing: () => phase !== ServerPhase.Serving,
        });
        running.add(exchange);
        try {
            await handle(incoming, exchange);
        }
        catch (error) {
            reportFault(exchange, error);
        }
        await exchange.closed;
        reservedBodyBytes -= bodyBytes;
        running.delete(exchange);
        if (running.size === 0) {
            notifyIdle?.();
        }
    };

    const handle = async (incoming: IncomingMessage, exchange: HttpExchange) => {
        const fault = validateHeaderFields(incoming, limits.maxHeaderCount);
        if (fault) {
            refuseExchange(parts, exchange, fault);
            return;
        }
        await serveExchange(parts, exchange, {
            isReady: phase === ServerPhase.Serving && options.isReady(),
            isRefusing: phase === ServerPhase.Refusing,
        });
    };

    const reportFault = (exchange: HttpExchange, error: unknown) => {
        const failure = mayHaveRun(FailureReason.Internal, "The request failed inside daisyturn.");
        eventLog.record(EventKind.Fault, {
            request: exchange.requestId,
            reason: error instanceof Error ? error.stack ?? error.message : String(error),
        });
        exchange.abort(failure);
        refuseExchange(parts, exchange, failure);
    };

    const { server, endService } = createCallerListener(
        options.tls,
        limits,
        createListenerLog({ eventLog }),
        createReadTurns(),
        (incoming, outgoing, connection) => {
            void serve(incoming, outgoing, connection);
        },
    );

    const start = async (signal = new AbortController().signal) => {
        await listenWhenFree(server, options.listen, { listener: "callers", signal, clock, eventLog });
        signal.throwIfAborted();
        return { port: (server.address() as AddressInfo).port };
    };

    const drain = async (deadline: number) => {
        phase = ServerPhase.NotReady;
        eventLog.record(EventKind.ProcessDraining, { running: running.size });
        await clock.sleepUntil(Math.min(deadline, clock.monotonicNow() + limits.balancerNoticeMilliseconds));
        phase = ServerPhase.Refusing;
        await waitUntilIdle(deadline);
        await stop();
    };

    const waitUntilIdle = async (deadline: number) => {
        const idle = new AbortController();
        notifyIdle = () => idle.abort();
        if (running.size > 0) {
            await clock.sleepUntil(deadline, idle.signal);
        }
    };

    const stop = async () => {
        phase = ServerPhase.Refusing;
        endService();
        running.forEach(exchange => exchange.abort(describeStop()));
        await waitUntilIdle(clock.monotonicNow() + flushMilliseconds);
        const closed = new Promise<void>(resolve => server.close(() => resolve()));
        server.closeAllConnections();
        await closed;
    };

    return { start, drain, stop };
}

function describeStop(): Failure {
    return mayHaveRun(FailureReason.OutOfService, "The process has stopped before the answer was whole.");
}

import { type Clock, EventKind, type EventLog, type Failure, FailureReason, mayHaveRun, notRun } from "daisyturn-utils";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { CallerProtocol, ForwardedCall } from "../../ports/forwardedCall.js";
import { ByteSource, type ConnectionGuard, type ForwardingMetrics } from "../../process/forwarding/index.js";
import type { CallHead } from "../../request/forwarding/checkCallHead.js";
import { refuseCall } from "../../request/forwarding/refuseCall.js";
import type { ForwardLimits } from "../../version/forwarding/forwardingConfiguration.js";
import type { ReadTurns } from "../bytes/createReadTurns.js";
import type { CallerConnection } from "../caller/callerConnection.js";
import { defaultCallerLimits, type ListenAddress } from "../caller/callerServerOptions.js";
import { createCallerListener } from "../caller/createCallerListener.js";
import { createListenerLog } from "../caller/createListenerLog.js";
import { readBytes } from "../caller/readBody.js";
import { listenWhenFree } from "../listenWhenFree.js";
import { createForwardExchange, type ForwardExchange, type ProcessStop } from "./forwardExchange.js";

/** The server for calls that are forwarded unchanged to targets. */
export interface ForwardServer {
    /**
     * Listens for callers once the address is free.
     * @returns false if `signal` was aborted before
     */
    start(signal: AbortSignal): Promise<boolean>;
    /** Applies new limits. Open connections keep the limits of their last request. */
    setLimits(limits: ForwardLimits): void;
    /**
     * Stops gracefully. Requests are still accepted until none is running, unless they may last beyond the deadline, and each
     * connection is closed after its answer. At the deadline the running requests are ended, and their callers are told
     * whether they may have run. No request is served any more once this resolves.
     * @param deadline monotonic time at which running requests are ended
     */
    drain(deadline: number): Promise<void>;
    running(): number;
}

/** Options of {@link createForwardServer}. */
export interface ForwardServerOptions {
    readonly listen: ListenAddress;
    readonly protocol: CallerProtocol;
    readonly serve: (call: ForwardedCall, exchange: ForwardExchange) => Promise<void>;
    /** Whether a call that arrives now is refused without reading it, because the process is overloaded. */
    readonly shouldRefuse: () => boolean;
    /** Refuses a call before its body is read. */
    readonly checkHead?: (head: CallHead) => Failure | undefined;
    readonly connectionGuard: Pick<ConnectionGuard, "shouldClose" | "recordRequest">;
    /** The turns that all connections of the process share. */
    readonly readTurns: ReadTurns;
    readonly clock: Clock;
    readonly eventLog: EventLog;
    readonly metrics: Pick<ForwardingMetrics, "recordUnreadable" | "recordReadLimit">;
}

/** Node's limit can't change after start. The configured limit is smaller and is checked for each request. */
const listenerHeaderBytes = 128 * 1024;
/** Used for callers that do not state how long they wait. */
const defaultTimeoutMilliseconds = 30_000;
/**
 * The load balancer probes once a second and removes the process after two failed probes. Connections that are being
 * opened then arrive a little later.
 */
const balancerNoticeMilliseconds = 2_400;
const drainPollMilliseconds = 50;
/** Time in which the answers of the calls that are ended at the deadline reach the kernel. */
const flushMilliseconds = 200;
/**
 * Connections that may wait to be accepted. A process at its limit accepts a few hundred a second. Connections beyond
 * the backlog would wait longer than their callers do, and another process can serve these callers sooner.
 */
const listener = { listener: "callers", backlog: 128 };

/** Creates the server. */
export function createForwardServer(options: ForwardServerOptions): ForwardServer {
    const { clock, eventLog, protocol } = options;
    let limits: ForwardLimits | undefined;
    let stop: ProcessStop | undefined;
    let running = 0;
    /** For each request that is read or served: ends it, as the process does. */
    const enders = new Set<(failure: Failure) => void>();
    let reservedBodyBytes = 0;
    /** Connections without a request so far. */
    const unused = new WeakSet<Socket>();

    const serveRequest = async (incoming: IncomingMessage, outgoing: ServerResponse, connection: CallerConnection) => {
        running += 1;
        const now = () => clock.monotonicNow();
        const exchange = createForwardExchange(incoming, outgoing, connection, () => stop, now);
        let bodyBytes = 0;
        const reserve = (byteCount: number) => {
            bodyBytes += byteCount;
            reservedBodyBytes += byteCount;
            return reservedBodyBytes <= defaultCallerLimits.maxTotalBodyBytes;
        };
        try {
            await handle(incoming, outgoing, exchange, reserve);
        }
        catch (error) {
            reportFault(exchange, error);
        }
        await exchange.closed;
        reservedBodyBytes -= bodyBytes;
        running -= 1;
    };

    const handle = async (
        incoming: IncomingMessage,
        outgoing: ServerResponse,
        exchange: ForwardExchange,
        reserve: (byteCount: number) => boolean,
    ) => {
        const arrivedAt = clock.monotonicNow();
        if (options.shouldRefuse()) {
            const message = "This process is overloaded; ask again elsewhere.";
            refuseUnread(outgoing, exchange, notRun(FailureReason.Overloaded, message, clock.wallNow()));
            return;
        }
        options.connectionGuard.recordRequest(unused.delete(incoming.socket));
        const described = protocol.describeCall(incoming.rawHeaders);
        const fault = checkHeaderSize(incoming, limits) ?? (described.isErr ? described.error : undefined);
        if (fault || described.isErr) {
            refuseUnread(outgoing, exchange, fault);
            return;
        }
        const host = stripPort(incoming.headers.host ?? "");
        const url = incoming.url ?? "/";
        const headFailure = options.checkHead?.({ ...described.value, host, url });
        if (headFailure) {
            refuseKnown(incoming, outgoing, exchange, headFailure);
            return;
        }
        const refuseReading = (failure: Failure) =>
            refuseUnread(outgoing, exchange, { ...failure, retryAt: clock.wallNow() });
        enders.add(refuseReading);
        const body = await readBytes(incoming, {
            maxBytes: limits?.maxBodyBytes ?? defaultCallerLimits.maxBodyBytes,
            milliseconds: defaultCallerLimits.bodyMilliseconds,
            reserve,
            sendContinue: () => incoming.headers.expect !== undefined && outgoing.writeContinue(),
        });
        enders.delete(refuseReading);
        if (exchange.isHeadSent()) {
            return;
        }
        if (body.isErr) {
            refuseUnread(outgoing, exchange, body.error);
            return;
        }
        const timeout = described.value.callerTimeoutMilliseconds ?? defaultTimeoutMilliseconds;
        enders.add(exchange.cancel);
        await options.serve({
            ...described.value,
            method: incoming.method ?? "GET",
            host,
            url,
            body: body.value,
            arrivedAt,
            deadline: arrivedAt + timeout,
        }, exchange).finally(() => enders.delete(exchange.cancel));
    };

    /** Refuses a request whose body is not read, so that the connection can't be reused for another request. */
    const refuseUnread = (outgoing: ServerResponse, exchange: ForwardExchange, failure: Failure | undefined) => {
        outgoing.shouldKeepAlive = false;
        refuseCall(exchange, failure ?? notRun(FailureReason.BadRequest, "The request can't be read."), clock);
    };

    /**
     * Refuses a request by its head. The HTTP server reads and discards its body, so that the connection stays usable, unless
     * the caller waits for permission to send the body.
     */
    const refuseKnown = (
        incoming: IncomingMessage,
        outgoing: ServerResponse,
        exchange: ForwardExchange,
        failure: Failure,
    ) => {
        if (incoming.headers.expect !== undefined) {
            outgoing.shouldKeepAlive = false;
        }
        refuseCall(exchange, failure, clock);
    };

    const reportFault = (exchange: ForwardExchange, error: unknown) => {
        const reason = error instanceof Error ? error.stack ?? error.message : String(error);
        eventLog.record(EventKind.Fault, { reason });
        refuseCall(exchange, mayHaveRun(FailureReason.Internal, "The request failed inside daisyturn."), clock);
    };

    const listenerLog = createListenerLog({
        eventLog,
        identify: rawFields => protocol.describeCall(rawFields).map(({ callId }) => callId).unwrapOr(undefined),
        recordUnreadable: status => options.metrics.recordUnreadable(status),
        recordReadLimit: limit => options.metrics.recordReadLimit(ByteSource.Caller, limit),
    });
    const callerListener = createCallerListener(
        undefined,
        { ...defaultCallerLimits, maxHeaderBytes: listenerHeaderBytes },
        listenerLog,
        options.readTurns,
        (incoming, outgoing, connection) => void serveRequest(incoming, outgoing, connection),
    );
    const { server } = callerListener;

    server.on("connection", (socket: Socket) => {
        if (options.connectionGuard.shouldClose()) {
            socket.resetAndDestroy();
        }
        else {
            unused.add(socket);
        }
    });

    const start = (signal: AbortSignal) =>
        listenWhenFree(server, options.listen, { ...listener, signal, clock, eventLog });

    const sleepUntilIdle = async (until: number) => {
        while (running > 0 && clock.monotonicNow() < until) {
            await clock.sleepUntil(Math.min(until, clock.monotonicNow() + drainPollMilliseconds));
        }
    };

    const drain = async (deadline: number) => {
        const noticedAt = Math.min(deadline, clock.monotonicNow() + balancerNoticeMilliseconds);
        stop = { noticedAt, endsAt: deadline };
        await clock.sleepUntil(noticedAt);
        // Requests on new connections still arrive if the load balancer has no other process.
        server.closeIdleConnections();
        await sleepUntilIdle(deadline);
        callerListener.endService();
        // A request may have arrived after the last look at what is running, but none can any more.
        await sleepUntilIdle(deadline);
        const failure = notRun(FailureReason.OutOfService, "This process has ended before the answer.");
        enders.forEach(end => end(failure));
        await sleepUntilIdle(clock.monotonicNow() + flushMilliseconds);
    };

    return {
        start,
        drain,
        running: () => running,
        setLimits: next => {
            limits = next;
            server.keepAliveTimeout = next.idleMilliseconds;
            server.headersTimeout = next.headerMilliseconds;
        },
    };
}

function checkHeaderSize(incoming: IncomingMessage, limits: ForwardLimits | undefined): Failure | undefined {
    if (!limits) {
        return undefined;
    }
    // Two bytes separate name and value, and two end the line.
    const bytes = incoming.rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
    return bytes > limits.maxHeaderBytes
        ? notRun(FailureReason.HeaderTooLarge, `The header is longer than ${limits.maxHeaderBytes} bytes.`)
        : undefined;
}

function stripPort(host: string): string {
    const colon = host.lastIndexOf(":");
    return colon < 0 || host.endsWith("]") ? host : host.slice(0, colon);
}

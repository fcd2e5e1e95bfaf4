import { createServer as createPlainServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { createServer as createTlsServer } from "node:https";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import type { ReadTurns } from "../bytes/createReadTurns.js";
import { answerProtocolError, type ProtocolError } from "./answerProtocolError.js";
import { type CallerConnection, createCallerConnection } from "./callerConnection.js";
import type { CallerLimits, TlsMaterial } from "./callerServerOptions.js";
import type { ListenerLog } from "./createListenerLog.js";
import { paceReads, ReadLimit } from "./reads/paceReads.js";

/** Handles one request. */
export type RequestListener = (
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    connection: CallerConnection,
) => void;

/** Upper limit of the interval at which Node checks for requests that have not arrived in time. */
const maxCheckIntervalMilliseconds = 1_000;

/** Node's error for a request whose head or body does not arrive in time. */
const lateRequestCode = "ERR_HTTP_REQUEST_TIMEOUT";
/** Node's error for a head that is too long. */
const longHeadCode = "HPE_HEADER_OVERFLOW";
const closedWithoutAnswer = "closed";

/**
 * Creates the HTTP listener. Node's limits are set so that a caller can't occupy a connection without a request.
 * @param turns share the time of the process with its other connections
 */
export function createCallerListener(
    tls: TlsMaterial | undefined,
    limits: CallerLimits,
    log: ListenerLog,
    turns: ReadTurns,
    listener: RequestListener,
): Server {
    const httpOptions = {
        maxHeaderSize: limits.maxHeaderBytes,
        headersTimeout: limits.headerMilliseconds,
        // A slow body is first refused with an answer, by readBody. This later limit closes the connection without one.
        requestTimeout: limits.headerMilliseconds + limits.bodyMilliseconds + maxCheckIntervalMilliseconds,
        connectionsCheckingInterval: Math.min(maxCheckIntervalMilliseconds, limits.headerMilliseconds / 2),
        keepAliveTimeout: limits.keepAliveMilliseconds,
    };
    const server = tls
        ? createTlsServer({
            ...httpOptions,
            key: tls.key,
            cert: tls.certificate,
            handshakeTimeout: limits.headerMilliseconds,
        })
        : createPlainServer(httpOptions);
    const connections = new WeakMap<Duplex, CallerConnection>();
    /** Connections that sent bytes from which no request could be read. */
    const refused = new WeakSet<Duplex>();

    const findConnection = (socket: Duplex): CallerConnection => {
        const known = connections.get(socket);
        if (known) {
            return known;
        }
        const connection = createCallerConnection(socket);
        connections.set(socket, connection);
        return connection;
    };

    const listen = (incoming: IncomingMessage, outgoing: ServerResponse) => {
        const connection = findConnection(incoming.socket);
        connection.recordRead(incoming);
        if (connection.isOpen()) {
            listener(incoming, outgoing, connection);
        }
        else {
            log.recordLateRequest(incoming);
        }
    };

    const handleProtocolError = (error: ProtocolError, socket: Duplex) => {
        const connection = findConnection(socket);
        const isRefused = refused.has(socket);
        refused.add(socket);
        connection.endService();
        const isLateHead = error.code === lateRequestCode && !connection.isReadingBody();
        if (!socket.writable || error.code === "ECONNRESET") {
            socket.destroy();
        }
        else if (connection.isAnswering() && !isLateHead) {
            log.recordUnreadable(socket, closedWithoutAnswer, error.code);
            socket.destroy();
        }
        else if (!isRefused) {
            connection.onceAnswered(() => {
                const status = answerProtocolError(error, socket, limits.lingerMilliseconds);
                log.recordUnreadable(socket, status ?? closedWithoutAnswer, error.code);
            });
        }
    };

    const pace = (socket: Socket) => {
        const requests = findConnection(socket);
        const onLimit = (limit: ReadLimit) => {
            log.recordReadLimit(socket, limit);
            if (limit === ReadLimit.Bytes) {
                const message = "The connection sends bytes that belong to no request.";
                handleProtocolError(Object.assign(new Error(message), { code: longHeadCode }), socket);
            }
        };
        paceReads({ socket, requests, turns, maxHeadBytes: limits.maxHeaderBytes, onLimit });
    };

    // Node would silently drop fields beyond its limit, possibly an Idempotency-Key. validateHeaderFields refuses them.
    server.maxHeadersCount = 0;
    server.maxConnections = limits.maxConnections;
    server.on(tls ? "secureConnection" : "connection", pace);
    server.on("request", listen);
    server.on("checkContinue", listen);
    server.on("clientError", handleProtocolError);
    return server;
}

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

/** A port for callers and the connections that it has accepted. */
export interface CallerListener {
    readonly server: Server;
    /**
     * Accepts no more connections and reads no more requests, from this call on. A connection without a request under way is
     * closed at once, with whatever it has not read; every other one after its last answer.
     */
    endService(): void;
}

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
): CallerListener {
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
    const connections = new Map<Duplex, CallerConnection>();
    let isEnded = false;
    /** Connections that sent bytes from which no request could be read. */
    const refused = new WeakSet<Duplex>();

    const findConnection = (socket: Duplex): CallerConnection => {
        const known = connections.get(socket);
        if (known) {
            return known;
        }
        const connection = createCallerConnection(socket);
        connections.set(socket, connection);
        socket.once("close", () => connections.delete(socket));
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
        if (isEnded) {
            socket.destroy();
            return;
        }
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

    const endService = () => {
        isEnded = true;
        server.close();
        for (const [socket, connection] of connections) {
            // Bytes that were read before may still reach the parser, also after the connection is destroyed.
            connection.endService();
            if (!connection.isAnswering()) {
                socket.destroy();
            }
        }
    };
    return { server, endService };
}

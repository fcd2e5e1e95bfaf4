import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import type { Result } from "true-myth/result";
import { Agent, buildConnector, type Dispatcher, Pool } from "undici";
import { boundReads } from "../../connection/bytes/boundReads.js";
import { createReadTurns, type ReadTurns } from "../../connection/bytes/createReadTurns.js";
import { readPastContinue } from "../../connection/target/readPastContinue.js";
import { resetOnError } from "../../connection/target/resetConnection.js";
import { ByteSource } from "../../process/forwarding/index.js";
import { createObservedClient, type ObservedConnection } from "./client/observedClient.js";
import { notRunStatus } from "./refusal.js";

const connectTimeoutMilliseconds = 2_000;
/** Shorter than the time after which targets close idle connections. */
const keepAliveMilliseconds = 4_000;

/** Opens a connection to a target (host:port). */
export type TargetDial = (
    address: string,
) => Promise<Result<{ readonly socket: Duplex; }, { readonly message: string; }>>;

/** Stands for the absent error or socket in undici's callbacks. */
const nothing = null; // eslint-disable-line no-restricted-syntax
const defaultPorts: Readonly<Record<string, string>> = { "http:": "80", "https:": "443" };

/**
 * Creates the connection pool for targets, without pipelining. undici's timeouts for answers are disabled because the
 * adapters enforce deadlines with the Clock.
 * @param dial opens the connections; by default they are opened directly
 */
export function createTargetDispatcher(dial?: TargetDial): Dispatcher {
    const connect = dial ? createConnector(dial) : createDirectConnector();
    return new Agent({
        pipelining: 1,
        factory: (origin, options) => new Pool(origin, { ...options as Pool.Options, factory: createRefusableClient }),
        connect: prepareReads(connect, createReadTurns()),
        keepAliveTimeout: keepAliveMilliseconds,
        keepAliveMaxTimeout: keepAliveMilliseconds,
        headersTimeout: 0,
        bodyTimeout: 0,
    });
}

/**
 * Creates the client of one connection, which is closed after a refusal. A target may send a refusal once more, and nothing
 * in it tells to which request it belongs.
 */
function createRefusableClient(origin: URL, options: object): Dispatcher {
    return createObservedClient(origin, options, closeAfterRefusal);
}

function closeAfterRefusal(
    handler: Dispatcher.DispatchHandler,
    connection: ObservedConnection,
): Dispatcher.DispatchHandler {
    let isRefused = false;
    return {
        onRequestStart: (...parameters) => handler.onRequestStart?.(...parameters),
        onRequestUpgrade: (...parameters) => handler.onRequestUpgrade?.(...parameters),
        onResponseStart: (controller, status, ...parameters) => {
            isRefused = status === notRunStatus;
            handler.onResponseStart?.(controller, status, ...parameters);
        },
        onResponseData: (...parameters) => handler.onResponseData?.(...parameters),
        onResponseEnd: (...parameters) => {
            handler.onResponseEnd?.(...parameters);
            if (isRefused) {
                connection.close();
            }
        },
        onResponseError: (...parameters) => handler.onResponseError?.(...parameters),
    };
}

/** Reads past 100 answers and bounds the time that each connection takes of a turn of the event loop, also over TLS. */
function prepareReads(connect: buildConnector.connector, turns: ReadTurns): buildConnector.connector {
    return (options, callback) =>
        connect(options, (...[error, socket]) => {
            if (error) {
                callback(error, nothing);
                return;
            }
            readPastContinue(socket);
            boundReads(socket, turns, ByteSource.Target);
            callback(nothing, socket);
        });
}

function createConnector(dial: TargetDial): buildConnector.connector {
    const connectTls = buildConnector({ timeout: connectTimeoutMilliseconds });
    return (options, callback) => {
        const { hostname, protocol } = options;
        const port = options.port === "" ? defaultPorts[protocol] : options.port;
        void dial(`${hostname}:${port}`).then(opened => {
            if (opened.isErr) {
                callback(Object.assign(new Error(opened.error.message), { code: "UND_ERR_CONNECT" }), nothing);
                return;
            }
            const socket = opened.value.socket as Socket;
            if (protocol === "https:") {
                connectTls({ ...options, httpSocket: socket }, passWithReset(callback, socket));
            }
            else {
                passWithReset(callback)(nothing, socket);
            }
        });
    };
}

/** undici opens the connections. Those over TLS are closed in order also after an abort. */
function createDirectConnector(): buildConnector.connector {
    const connect = buildConnector({ timeout: connectTimeoutMilliseconds });
    return (options, callback) => connect(options, options.protocol === "https:" ? callback : passWithReset(callback));
}

/**
 * Passes on a connection that is reset when a request on it is aborted.
 * @param connection that carries the passed one; by default, the passed one itself
 */
function passWithReset(callback: buildConnector.Callback, connection?: Socket): buildConnector.Callback {
    return (...[error, socket]) => {
        if (error) {
            callback(error, nothing);
            return;
        }
        resetOnError(socket, connection ?? socket);
        callback(nothing, socket);
    };
}

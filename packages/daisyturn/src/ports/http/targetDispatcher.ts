import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import type { Result } from "true-myth/result";
import { Agent, buildConnector, type Dispatcher } from "undici";

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
    return new Agent({
        pipelining: 1,
        connect: dial ? createConnector(dial) : { timeout: connectTimeoutMilliseconds },
        keepAliveTimeout: keepAliveMilliseconds,
        keepAliveMaxTimeout: keepAliveMilliseconds,
        headersTimeout: 0,
        bodyTimeout: 0,
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
                connectTls({ ...options, httpSocket: socket }, callback);
            }
            else {
                callback(nothing, socket);
            }
        });
    };
}

import type { Socket } from "node:net";
import { type buildConnector, Client, type Dispatcher } from "undici";
import { isReset } from "../../../connection/target/isReset.js";

/** What the handlers of a client learn of its connection. */
export interface ObservedConnection {
    /** Whether the other side has ended the connection in order, and not by a reset. */
    hasEnded(): boolean;
    close(): void;
}

/** Wraps the handler of one request. */
export type HandlerWrapper = (
    handler: Dispatcher.DispatchHandler,
    connection: ObservedConnection,
) => Dispatcher.DispatchHandler;

/** Stands for the absent error in undici's callbacks. */
const noError = null; // eslint-disable-line no-restricted-syntax
const noSocket = null; // eslint-disable-line no-restricted-syntax

/** Creates undici's client of one connection, for the `factory` option of a pool. */
export function createObservedClient(origin: URL, options: object, wrap: HandlerWrapper): Dispatcher {
    const clientOptions = options as Client.Options;
    const connect = clientOptions.connect as buildConnector.connector;
    let opened: Socket | undefined;
    let isEnded = false;
    const observe = (socket: Socket) => {
        opened = socket;
        isEnded = false;
        socket.once("end", () => {
            isEnded = !isReset(socket);
        });
    };
    const client = new Client(origin, {
        ...clientOptions,
        connect: (target, callback) =>
            connect(target, (...[error, socket]) => {
                if (error) {
                    callback(error, noSocket);
                    return;
                }
                observe(socket);
                callback(noError, socket);
            }),
    });
    const connection: ObservedConnection = { hasEnded: () => isEnded, close: () => void opened?.destroy() };
    return client.compose(dispatch => (request, handler) => dispatch(request, wrap(handler, connection)));
}

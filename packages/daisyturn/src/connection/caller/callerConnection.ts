import type { IncomingMessage } from "node:http";
import type { Duplex } from "node:stream";

/**
 * A connection of a caller. It owns what may still be served of the bytes that arrive: once its last answer is chosen, no
 * further request of it is served, although the HTTP parser goes on reading.
 */
export interface CallerConnection {
    /** Whether a request that is read now is served. */
    isOpen(): boolean;
    /** Ends the service: requests that become complete later are not served. */
    endService(): void;
    /**
     * Registers a request whose answer is not finished.
     * @param handleClose called once the caller has closed the connection. Node emits `close` only for the answer that is
     * currently being sent, not for those of the pipelined requests behind it.
     */
    beginRequest(incoming: IncomingMessage, handleClose: () => void): OpenRequest;
    /** Whether the answer to a registered request is not finished. */
    isAnswering(): boolean;
    /** Whether the body of a registered request has not arrived completely. */
    isReadingBody(): boolean;
    /** Records a request that was read, whether or not it is served. */
    recordRead(incoming: IncomingMessage): void;
    /** Number of requests that were read. */
    readCount(): number;
    /** The last request that was read, if its body has not arrived completely. */
    incomplete(): IncomingMessage | undefined;
    /** Number of registered requests. */
    underWay(): number;
    /** Calls the listener once the answer to any registered request is finished. */
    onceAnyAnswered(listener: () => void): void;
    /** Calls the listener once no registered request is left, at once if there is none. */
    onceAnswered(listener: () => void): void;
}

/** A request of a connection that is being served. */
export interface OpenRequest {
    /** Whether no other request was read after it. */
    isLatest(): boolean;
    end(): void;
}

/** Creates the state of one connection. */
export function createCallerConnection(socket: Duplex): CallerConnection {
    /** In the order in which they were read. */
    const open = new Map<() => void, IncomingMessage>();
    let isOpen = true;
    let latest: IncomingMessage | undefined;
    let lastRead: IncomingMessage | undefined;
    let readCount = 0;
    let answeredListeners: (() => void)[] = [];
    let anyAnsweredListeners: (() => void)[] = [];

    const handleSocketClose = () => {
        isOpen = false;
        [...open.keys()].forEach(listener => listener());
    };
    // Node.js answers no request on a connection that its caller has closed, and emits `close` only later.
    for (const event of ["end", "error", "close"]) {
        socket.once(event, handleSocketClose);
    }

    const notifyAnswered = () => {
        const listeners = answeredListeners;
        answeredListeners = [];
        listeners.forEach(listener => listener());
    };

    const notifyAnyAnswered = () => {
        const listeners = anyAnsweredListeners;
        anyAnsweredListeners = [];
        listeners.forEach(listener => listener());
    };

    return {
        isOpen: () => isOpen,
        endService: () => {
            isOpen = false;
        },
        beginRequest: (incoming, handleClose) => {
            open.set(handleClose, incoming);
            latest = incoming;
            return {
                isLatest: () => latest === incoming,
                end: () => {
                    if (!open.delete(handleClose)) {
                        return;
                    }
                    notifyAnyAnswered();
                    if (open.size === 0) {
                        notifyAnswered();
                    }
                },
            };
        },
        isAnswering: () => open.size > 0,
        isReadingBody: () => [...open.values()].some(incoming => !incoming.complete),
        recordRead: incoming => {
            lastRead = incoming;
            readCount += 1;
        },
        readCount: () => readCount,
        incomplete: () => lastRead?.complete === false ? lastRead : undefined,
        underWay: () => open.size,
        onceAnyAnswered: listener => void anyAnsweredListeners.push(listener),
        onceAnswered: listener => {
            answeredListeners.push(listener);
            if (open.size === 0) {
                notifyAnswered();
            }
        },
    };
}

import type { Clock, EventLog } from "daisyturn-utils";
import { ByteSource, type ListenAddress, listenWhenFree, paceServer, type ReadTurns } from "daisyturn/forwarding";
import { createServer } from "node:http";

/** Serves the balancer's readiness probe. */
export interface ReadinessServer {
    /**
     * Listens once the address is free.
     * @returns false if `signal` was aborted before
     */
    start(signal: AbortSignal): Promise<boolean>;
    close(): void;
}

const okStatus = 200;
const unavailableStatus = 503;
const notFoundStatus = 404;

/** Creates the server. It answers 200 or 503 at `path`, and 404 elsewhere. */
export function createReadinessServer(
    listen: ListenAddress,
    path: string,
    isReady: () => boolean,
    parts: { readonly clock: Clock; readonly eventLog: EventLog; readonly readTurns: ReadTurns; },
): ReadinessServer {
    const server = createServer((incoming, outgoing) => {
        incoming.resume();
        const isReadinessPath = incoming.url?.split("?", 1)[0] === path;
        outgoing.statusCode = isReadinessPath ? (isReady() ? okStatus : unavailableStatus) : notFoundStatus;
        outgoing.setHeader("Content-Length", "0");
        outgoing.end();
    });
    paceServer(server, parts.readTurns, ByteSource.Operator);
    return {
        start: signal => listenWhenFree(server, listen, { ...parts, listener: "readiness", signal }),
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}

import { type ListenAddress, listenAt } from "daisyturn/forwarding";
import { createServer } from "node:http";

/** Serves the balancer's readiness probe. */
export interface ReadinessServer {
    start(): Promise<void>;
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
): ReadinessServer {
    const server = createServer((incoming, outgoing) => {
        incoming.resume();
        const isReadinessPath = incoming.url?.split("?", 1)[0] === path;
        outgoing.statusCode = isReadinessPath ? (isReady() ? okStatus : unavailableStatus) : notFoundStatus;
        outgoing.setHeader("Content-Length", "0");
        outgoing.end();
    });
    return {
        start: () => listenAt(server, listen),
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}

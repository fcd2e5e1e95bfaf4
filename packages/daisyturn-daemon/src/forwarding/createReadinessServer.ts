import { type ListenAddress, listenAt } from "daisyturn/forwarding";
import { createServer } from "node:http";

/** Answers the balancer's question whether this process takes requests. */
export interface ReadinessServer {
    start(): Promise<void>;
    close(): void;
}

const okStatus = 200;
const unavailableStatus = 503;
const notFoundStatus = 404;

/** Creates the server. Each question is answered on a connection of its own, so that none has to be kept. */
export function createReadinessServer(
    listen: ListenAddress,
    path: string,
    isReady: () => boolean,
): ReadinessServer {
    const server = createServer((incoming, outgoing) => {
        incoming.resume();
        const isAsked = incoming.url?.split("?", 1)[0] === path;
        outgoing.statusCode = isAsked ? (isReady() ? okStatus : unavailableStatus) : notFoundStatus;
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

import type { Server } from "node:http";
import type { Socket } from "node:net";

/** An open connection of a server. */
interface OpenConnection {
    /** The TCP connection, also of a server that uses TLS. */
    readonly socket: Socket;
    /** Number of requests that are not answered yet. */
    requests: number;
}

/** The open connections of a server. */
export interface LimitedConnections {
    /** Closes the connections without a request under way, also those that are new or within a TLS handshake. */
    closeIdle(): void;
}

/**
 * Bounds the number of open connections of a server. Beyond the bound, the idle connection with the earliest last request
 * is closed for the new one, or the new one if none is idle.
 */
export function limitConnections(server: Server, maxConnections: number): LimitedConnections {
    /** Ordered by the last request, or else by the time of opening. */
    const connections = new Map<string, OpenConnection>();

    const remove = (name: string, socket: Socket) => {
        if (connections.get(name)?.socket === socket) {
            connections.delete(name);
        }
    };

    /** @returns false if no connection is idle */
    const closeEarliestIdle = () => {
        for (const [name, { socket, requests }] of connections) {
            if (requests === 0) {
                remove(name, socket);
                socket.destroy();
                return true;
            }
        }
        return false;
    };

    server.prependListener("connection", (socket: Socket) => {
        if (connections.size >= maxConnections && !closeEarliestIdle()) {
            socket.destroy();
            return;
        }
        const name = nameConnection(socket);
        connections.set(name, { socket, requests: 0 });
        socket.once("close", () => remove(name, socket));
    });
    server.prependListener("request", (incoming, outgoing) => {
        const name = nameConnection(incoming.socket);
        const connection = connections.get(name);
        if (connection) {
            connection.requests++;
            connections.delete(name);
            connections.set(name, connection);
            outgoing.once("close", () => connection.requests--);
        }
    });

    return {
        closeIdle: () => {
            let isLeft = true;
            while (isLeft) {
                isLeft = closeEarliestIdle();
            }
        },
    };
}

/** The request of a server that uses TLS names the TLS connection, not the one below it. */
function nameConnection({ remoteAddress, remotePort }: Socket): string {
    return `${remoteAddress}:${remotePort}`;
}

import type { DialedConnection } from "./createTargetDialer.js";

/** Connections that were opened for another reason and that no call has used yet. */
export interface SpareSockets {
    keep(address: string, connection: DialedConnection): void;
    /** Returns a connection that is still open; undefined if there is none. */
    take(address: string): DialedConnection | undefined;
    close(): void;
}

/**
 * Keeps the connections for a short time, since targets close idle ones.
 * @param lifetime milliseconds
 */
export function createSpareSockets(lifetime: number): SpareSockets {
    const spares = new Map<string, Set<DialedConnection>>();

    const remove = (address: string, connection: DialedConnection) => {
        const kept = spares.get(address);
        kept?.delete(connection);
        if (kept?.size === 0) {
            spares.delete(address);
        }
    };

    return {
        keep: (address, connection) => {
            const { socket } = connection;
            const kept = spares.get(address) ?? new Set();
            spares.set(address, kept.add(connection));
            const timer = setTimeout(() => {
                if (spares.get(address)?.has(connection)) {
                    socket.destroy();
                }
            }, lifetime).unref();
            socket.on("error", () => undefined);
            socket.once("close", () => {
                clearTimeout(timer);
                remove(address, connection);
            });
        },
        take: address => {
            const [connection] = spares.get(address) ?? [];
            if (connection) {
                remove(address, connection);
            }
            return connection?.socket.destroyed ? undefined : connection;
        },
        close: () => [...spares.values()].flatMap(kept => [...kept]).forEach(({ socket }) => socket.destroy()),
    };
}

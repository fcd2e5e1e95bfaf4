import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";

/** A target whose answers are raw bytes written by the test. */
export interface RawTarget {
    readonly address: string;
    /** Connections accepted so far. */
    readonly connections: Socket[];
    /** The bytes received over all connections, as Latin-1 text. */
    received(): string;
    close(): Promise<void>;
}

/** Starts a target. `onRequest` is called with the connection once the head of a request has arrived. */
export async function startRawTarget(onRequest: (socket: Socket, count: number) => unknown): Promise<RawTarget> {
    const connections: Socket[] = [];
    let text = "";
    let count = 0;
    const server = createServer(socket => {
        connections.push(socket);
        socket.on("error", () => undefined);
        socket.on("data", data => {
            text += data.toString("latin1");
            if (text.endsWith("\r\n\r\n") || data.includes("\r\n\r\n")) {
                onRequest(socket, ++count);
            }
        });
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    return {
        address: `127.0.0.1:${port}`,
        connections,
        received: () => text,
        close: async () => {
            connections.forEach(socket => socket.destroy());
            server.close();
            await once(server, "close");
        },
    };
}

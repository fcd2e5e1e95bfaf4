import { once } from "node:events";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

/** A running HTTP server of a stand-in. */
export interface StandInServer {
    /** Base URL, as `http://address:port`. */
    readonly url: string;
    /** Stops the server at once and closes open connections. */
    close(): Promise<void>;
}

/** Handles one request. If it throws before the headers are sent, the answer has status 500. */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse, url: URL) => Promise<void> | void;

/** Starts an HTTP server on a local address. */
export async function listenHttp(host: string, port: number, handler: RequestHandler): Promise<StandInServer> {
    const server = createServer((request, response) => void handle(request, response, handler));
    server.listen(port, host);
    await once(server, "listening");
    const address = server.address() as AddressInfo;
    const close = async () => {
        const closed = once(server, "close");
        server.close();
        server.closeAllConnections();
        await closed;
    };
    return { url: `http://${host}:${address.port}`, close };
}

async function handle(request: IncomingMessage, response: ServerResponse, handler: RequestHandler): Promise<void> {
    // Errors of the connection are ignored. Without a listener, such an error would end the process.
    response.on("error", () => undefined);
    try {
        await handler(request, response, new URL(request.url ?? "/", "http://stand-in"));
    }
    catch (error) {
        if (response.headersSent) {
            response.destroy();
            return;
        }
        response.writeHead(500, { "content-type": "text/plain" });
        response.end(String(error));
    }
}

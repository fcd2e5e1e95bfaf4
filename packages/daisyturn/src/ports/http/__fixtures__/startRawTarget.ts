import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import type { TestContext } from "node:test";

/** One request as received. */
export interface RawRequest {
    /** Request line without the HTTP version, such as `POST /generate`. */
    readonly line: string;
    readonly body: string;
    readonly socket: Socket;
}

/** Handles one request to a raw target. */
export type RawScript = (request: RawRequest) => void;

/** A TCP server that parses requests only. The test writes the bytes of the answers. */
export interface RawTarget {
    readonly url: string;
    readonly requests: readonly RawRequest[];
    /** Resolves with the `number`th request (from 1), past or future, whose line starts with `lineStart`. */
    received(lineStart: string, number?: number): Promise<RawRequest>;
}

export interface RawTargetOptions {
    readonly onRequest?: RawScript;
    /** Called for each connection before any data is read. */
    readonly onConnection?: (socket: Socket) => void;
}

/** Starts a raw target that is stopped after the test. */
export async function startRawTarget(test: TestContext, options: RawTargetOptions): Promise<RawTarget> {
    const requests: RawRequest[] = [];
    const sockets = new Set<Socket>();
    let waiters: (() => void)[] = [];

    const addRequest = (request: RawRequest) => {
        requests.push(request);
        const woken = waiters;
        waiters = [];
        woken.forEach(wake => wake());
        options.onRequest?.(request);
    };

    const server = createServer({ allowHalfOpen: true }, socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("close", () => sockets.delete(socket));
        options.onConnection?.(socket);
        readRequests(socket, addRequest);
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    test.after(() => {
        sockets.forEach(socket => socket.destroy());
        server.close();
    });

    const received = async (lineStart: string, number = 1) => {
        for (;;) {
            const request = requests.filter(({ line }) => line.startsWith(lineStart))[number - 1];
            if (request) {
                return request;
            }
            await new Promise<void>(resolve => waiters.push(resolve));
        }
    };
    return { url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, requests, received };
}

function readRequests(socket: Socket, onRequest: (request: RawRequest) => void): void {
    let text = "";
    socket.setEncoding("latin1");
    socket.on("data", (chunk: string) => {
        text += chunk;
        for (let headEnd = text.indexOf("\r\n\r\n"); headEnd !== -1; headEnd = text.indexOf("\r\n\r\n")) {
            const length = Number(/content-length: (\d+)/i.exec(text.slice(0, headEnd))?.[1] ?? "0");
            const end = headEnd + 4 + length;
            if (text.length < end) {
                return;
            }
            const line = text.slice(0, text.indexOf(" HTTP/1.1"));
            const body = Buffer.from(text.slice(headEnd + 4, end), "latin1").toString("utf8");
            text = text.slice(end);
            onRequest({ line, body, socket });
        }
    });
}

/** Writes an answer with a content-length. */
export function writeAnswer(
    socket: Socket,
    status: number,
    body: string,
    headers: Readonly<Record<string, string>> = {},
): void {
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join("");
    socket.write(`HTTP/1.1 ${status} X\r\n${lines}content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`);
}

/** Writes the head of a chunked answer. */
export function writeChunkedHead(socket: Socket, headers = ""): void {
    socket.write(`HTTP/1.1 200 OK\r\n${headers}transfer-encoding: chunked\r\n\r\n`);
}

/** Writes one chunk. */
export function writeChunk(socket: Socket, bytes: string | Buffer): void {
    socket.write(`${Buffer.byteLength(bytes).toString(16)}\r\n`);
    socket.write(bytes);
    socket.write("\r\n");
}

/** Writes the last chunk, which ends the answer. */
export function writeChunkedEnd(socket: Socket): void {
    socket.write("0\r\n\r\n");
}

/** Returns the URL of a port at which nothing listens. */
export async function findClosedUrl(): Promise<string> {
    const server = createServer();
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    server.close();
    await once(server, "close");
    return `http://127.0.0.1:${port}`;
}

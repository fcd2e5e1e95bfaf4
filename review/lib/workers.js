// Workers of the platform: a plain service and engines. `answer` may answer a call in another way; it then returns true.
// `fields` returns further fields of an answer.
import { once } from "node:events";
import { createServer } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { recorder } from "./recorder.js";

const report = stage => ({
    stage,
    models: [{ name: "m", version: 1, adapters: [] }],
    busy: false,
    sequence: 0,
    queued: 0,
    running: 0,
    kvUsed: 0,
    kvTotal: 385_388,
    kvHandles: 0,
});

/** Starts a worker. Its runs are listed with the call's attempt identifier. */
export async function startWorker(options) {
    const { host, id, stage, workMilliseconds = 20, events = 5, answer = () => false, fields = () => ({}) } = options;
    const runs = [];
    let handles = 0;

    const answerPlain = async (call, outgoing) => {
        await sleep(workMilliseconds);
        const body = `${call.attempt} ${"y".repeat(760)}`;
        outgoing.writeHead(200, { "Content-Length": body.length, ...fields(id) });
        outgoing.end(body);
    };

    const answerPrompt = async (call, outgoing) => {
        if (call.isPrefill) {
            await sleep(workMilliseconds);
            const body = JSON.stringify({ handle: `${id}-${++handles}`, tokens: 1_460, version: 1 });
            outgoing.writeHead(200, { "Content-Type": "application/json", "Content-Length": body.length });
            outgoing.end(body);
            return;
        }
        outgoing.writeHead(200, { "Content-Type": "text/event-stream" });
        for (let event = 1 + call.lastEvent; event <= events; event++) {
            await sleep(workMilliseconds);
            outgoing.write(formatEvent(event));
        }
        outgoing.end();
    };

    const handle = async (incoming, outgoing) => {
        const chunks = [];
        for await (const chunk of incoming) {
            chunks.push(chunk);
        }
        const { headers, method, url } = incoming;
        if (url === "/health") {
            outgoing.writeHead(200, { "X-Instance-Id": id });
            outgoing.end();
            return;
        }
        if (url.startsWith("/api/")) {
            const body = JSON.stringify(report(stage));
            outgoing.writeHead(200, { "Content-Type": "application/json", "Content-Length": body.length });
            outgoing.end(body);
            return;
        }
        const attempt = headers["x-attempt-id"];
        outgoing.setHeader("X-Attempt-Id", attempt);
        if (headers["x-expect-instance"] !== undefined && headers["x-expect-instance"] !== id) {
            outgoing.writeHead(421, { "X-Instance-Id": id, "Content-Length": 0 });
            outgoing.end();
            return;
        }
        const call = {
            attempt,
            method,
            url,
            headers,
            body: Buffer.concat(chunks),
            isPrefill: headers["x-serving-stage"] === "prefill",
            lastEvent: Number(headers["last-event-id"] ?? 0),
            receivedAt: performance.now(),
        };
        runs.push(call);
        recorder.record(`${call.isPrefill ? "prefilled" : "run"} ${attempt} ${url} at ${id}`);
        outgoing.setHeader("X-Response-Stamp", `${id}.${runs.length}`);
        outgoing.setHeader("Keep-Alive", "timeout=5");
        if (!answer(call, outgoing, id)) {
            await (stage ? answerPrompt : answerPlain)(call, outgoing);
        }
    };

    const open = async port => {
        const server = createServer((incoming, outgoing) => void handle(incoming, outgoing).catch(() => outgoing.destroy()));
        server.listen(port, host);
        await once(server, "listening");
        return server;
    };
    let server = await open(0);
    const { port } = server.address();
    let isClosed = false;
    const close = () => {
        server.close();
        server.closeAllConnections();
    };
    return {
        id,
        address: `${host}:${port}`,
        runs,
        close: () => {
            isClosed = true;
            close();
        },
        /** Breaks all connections off, and listens again after a time. Resolves once it does. */
        crash: async milliseconds => {
            close();
            await sleep(milliseconds);
            if (!isClosed) {
                server = await open(port);
            }
        },
    };
}

export const formatEvent = (event, data = `piece ${event}`) => `id: ${event}\ndata: ${data}\n\n`;

/**
 * Writes a chunked body without end, `chunkBytes` a chunk, until the caller closes the connection.
 * @param onClosed gets the number of bytes that were written
 */
export function writeWithoutEnd(outgoing, chunkBytes, onClosed) {
    const { socket } = outgoing;
    const chunk = `${chunkBytes.toString(16)}\r\n${"x".repeat(chunkBytes)}\r\n`;
    const text = Buffer.from(chunk.repeat(5_000));
    let written = 0;
    const write = () => {
        while (!socket.destroyed) {
            written += text.length;
            if (!socket.write(text)) {
                socket.once("drain", write);
                return;
            }
        }
    };
    socket.once("close", () => onClosed(written));
    outgoing.flushHeaders();
    write();
}

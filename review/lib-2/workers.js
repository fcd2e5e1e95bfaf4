// Stand-ins for workers: model workers that prefill or decode and carry out orders, and workers of a plain service.
import { randomBytes } from "node:crypto";
import { once } from "node:events";
import { createServer } from "node:http";

const heartbeatMilliseconds = 1_200;
const handleMilliseconds = 5_000;

async function readBody(incoming) {
    const pieces = [];
    for await (const piece of incoming) {
        pieces.push(piece);
    }
    return Buffer.concat(pieces).toString("utf8");
}

/** Listens on a free port; `answer` gets each request with its body and the machine that has sent it. */
async function listen(answer) {
    const machines = new Map();
    const server = createServer((incoming, outgoing) => {
        const machine = machines.get(incoming.socket.remotePort);
        readBody(incoming).then(body => answer(incoming, outgoing, body, machine)).catch(() => outgoing.destroy());
    });
    server.keepAliveTimeout = 8_000;
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    return {
        server,
        port: server.address().port,
        /** Learns from the proxy which machine a connection comes from. */
        onOpened: (socket, machine) => socket.once("connect", () => machines.set(socket.localPort, machine)),
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}

/** Keeps the entry of a worker in the store. */
function keepEntry(store, id, describe) {
    let sequence = 0;
    const write = () => store.put("servers", id, { ...describe(), sequence: ++sequence });
    let timer;
    return {
        begin: () => {
            write();
            timer = setInterval(write, heartbeatMilliseconds);
        },
        write,
        stop: () => clearInterval(timer),
        remove: () => {
            clearInterval(timer);
            store.remove("servers", id);
        },
    };
}

/** Headers of each answer to a request of a client. */
function answerHeaders(incoming, id) {
    const attempt = incoming.headers["x-attempt-id"];
    return { "X-Instance-Id": id, ...(attempt !== undefined && { "X-Attempt-Id": attempt }) };
}

function refuse(incoming, outgoing, id, status, more = {}) {
    outgoing.writeHead(status, { ...answerHeaders(incoming, id), "X-Not-Executed": "1", "Content-Length": 0, ...more });
    outgoing.end();
}

/**
 * Starts a model worker.
 * @param options.onOrder called with each order that arrives
 * @param options.onRun called with each request that begins to run
 */
export async function startModelWorker(options) {
    const { network, store, number, service, zone, slots = 24, switchMilliseconds = 3_000, checksFences } = options;
    const id = `i-${randomBytes(4).toString("hex")}`;
    const handles = new Map();
    let { stage } = options;
    let state = "ready";
    let isBusy = false;
    let orders = 0;
    let highestFence = -Infinity;
    let running = 0;
    let timer;

    const order = (outgoing, body, machine) => {
        const { operation, stage: next, holder, fencingToken, expectedRev } = JSON.parse(body);
        const status = operation !== "stage" || holder === undefined || fencingToken === undefined
            ? 400
            : checksFences && fencingToken < highestFence
            ? 412
            : isBusy || (expectedRev !== undefined && expectedRev !== orders)
            ? 409
            : next === stage
            ? 200
            : 202;
        highestFence = Math.max(highestFence, fencingToken ?? -Infinity);
        options.onOrder?.({ id, machine, holder, fencingToken, expectedRev, stage: next, status });
        if (status === 202) {
            orders += 1;
            isBusy = true;
            timer = setTimeout(() => {
                isBusy = false;
                stage = next;
                entry.write();
            }, switchMilliseconds);
        }
        outgoing.writeHead(status, { "Content-Type": "application/json" });
        outgoing.end("{}");
    };

    const report = outgoing => {
        outgoing.writeHead(200, { "Content-Type": "application/json" });
        outgoing.end(JSON.stringify({
            ...{ stage, models: [{ name: "m", version: 1, adapters: [] }], busy: isBusy, sequence: orders, queued: 0 },
            ...{ running, kvUsed: 0, kvTotal: 300_000, kvHandles: handles.size },
        }));
    };

    const answer = async (incoming, outgoing, body, machine) => {
        const { headers, url, method } = incoming;
        if (headers["x-expect-instance"] !== undefined && headers["x-expect-instance"] !== id) {
            outgoing.writeHead(421, { "X-Instance-Id": id, "Content-Length": 0 });
            outgoing.end();
        }
        else if (url === "/api/report") {
            report(outgoing);
        }
        else if (url === "/api/order") {
            order(outgoing, body, machine);
        }
        else if (url.startsWith("/api/kv-handle/") && method === "DELETE") {
            handles.delete(url.slice("/api/kv-handle/".length));
            outgoing.writeHead(200, { "Content-Length": 0 });
            outgoing.end();
        }
        else if (url.startsWith("/api/")) {
            outgoing.writeHead(404, { "Content-Length": 0 });
            outgoing.end();
        }
        else if (isBusy) {
            refuse(incoming, outgoing, id, 503);
        }
        else if (headers["x-serving-stage"] === "prefill") {
            if (stage !== "prefill") {
                refuse(incoming, outgoing, id, 421);
                return;
            }
            const handle = randomBytes(6).toString("hex");
            handles.set(handle, headers["x-attempt-id"]);
            setTimeout(() => handles.delete(handle), handleMilliseconds).unref();
            await new Promise(resolve => setTimeout(resolve, 10));
            const text = JSON.stringify({ handle, tokens: 10, version: 1 });
            outgoing.writeHead(200, {
                ...answerHeaders(incoming, id),
                "Content-Type": "application/json",
                "Content-Length": Buffer.byteLength(text),
            });
            outgoing.end(text);
        }
        else if (stage === "prefill") {
            refuse(incoming, outgoing, id, 421);
        }
        else {
            running += 1;
            outgoing.once("close", () => {
                running -= 1;
            });
            options.onRun?.({ id, machine, attempt: headers["x-attempt-id"], at: performance.now() });
            outgoing.writeHead(200, {
                ...answerHeaders(incoming, id),
                "X-Response-Stamp": `stamp.${id}`,
                "X-Server-Load": `${running},0,${slots}`,
                "Content-Type": "text/event-stream",
            });
            for (let event = Number(headers["last-event-id"] ?? 0) + 1; event <= 3; event++) {
                outgoing.write(`id: ${event}\ndata: piece ${event} of ${headers["x-attempt-id"]}\n\n`);
                await new Promise(resolve => setTimeout(resolve, 10));
            }
            outgoing.end();
        }
    };

    const { port, onOpened, close } = await listen(answer);
    const { address, links } = await network.addWorker(number, port, { ...options.link, onOpened });
    const describe = () => ({
        ...{ service, address, zone, version: "v1", slots, state, coldLeftMs: 0, stage },
        models: [{ name: "m", version: 1, adapters: [] }],
    });
    const entry = keepEntry(store, id, describe);
    entry.begin();
    return {
        id,
        links,
        stage: () => stage,
        leave: () => {
            state = "draining";
            entry.write();
        },
        /** Ends the worker without notice; its entry expires after three heartbeats. */
        crash: () => {
            clearTimeout(timer);
            close();
            setTimeout(entry.remove, 3 * heartbeatMilliseconds).unref();
        },
        close: () => {
            clearTimeout(timer);
            entry.stop();
            close();
        },
    };
}

/**
 * Starts a worker of a plain service.
 * @param options.answer answers a request that the worker takes; it gets the request, its body, the machine that sent it,
 * and the headers that each answer has
 */
export async function startPlainWorker(options) {
    const { network, store, number, service, zone, slots = 6, version = "v1" } = options;
    const id = `i-${randomBytes(4).toString("hex")}`;
    const answer = async (incoming, outgoing, body, machine) => {
        if (incoming.headers["x-expect-instance"] !== undefined && incoming.headers["x-expect-instance"] !== id) {
            outgoing.writeHead(421, { "X-Instance-Id": id, "Content-Length": 0 });
            outgoing.end();
            return;
        }
        if (incoming.url === "/health" || incoming.url.startsWith("/api/")) {
            outgoing.writeHead(incoming.url === "/health" ? 200 : 404, { "X-Instance-Id": id, "Content-Length": 0 });
            outgoing.end();
            return;
        }
        await options.answer({ incoming, outgoing, body, machine, id, headers: answerHeaders(incoming, id) });
    };
    const { port, onOpened, close } = await listen(answer);
    const { address, links } = await network.addWorker(number, port, { ...options.link, onOpened });
    const describe = () => ({ service, address, zone, version, slots, state: "ready", coldLeftMs: 0 });
    const entry = keepEntry(store, id, describe);
    entry.begin();
    return {
        id,
        links,
        close: () => {
            entry.stop();
            close();
        },
    };
}

// Requests that arrive while a stopped process leaves are passed on to a worker and cut when the process exits.
import { connect } from "node:net";
import { fileURLToPath } from "node:url";
import { startBalancer } from "../lib-2/balancer.js";
import { startDeployment } from "../lib-2/deployment.js";
import { CannotRun, runScript } from "../lib-2/script.js";
import { startPlainWorker } from "../lib-2/workers.js";

const workMilliseconds = 40;
/** Of the whole zone. */
const requestsPerSecond = 60;
/** Clients open connections up to this long before they need them. */
const maxLeadMilliseconds = 1_000;
/** As in `roll_term` of the site with `busy`: three machines, one after the other, each a second after the last. */
const rollGapMilliseconds = 1_000;
const rolls = 10;
const rollMilliseconds = 9_000;
const callerMilliseconds = 2_500;

/** Opens a connection, sends one request on it later, and resolves with what came back. */
async function call({ host, port, attempt, lead }) {
    const socket = connect({ host, port, noDelay: true });
    const result = { attempt, answer: "", sentAt: undefined, endedAt: undefined, openedAt: undefined };
    const ended = new Promise(resolve => {
        socket.on("connect", () => {
            result.openedAt = performance.now();
            setTimeout(() => {
                if (!socket.destroyed) {
                    result.sentAt = performance.now();
                    socket.write(
                        `POST /abono/${attempt} HTTP/1.1\r\nHost: coop.example\r\nX-Attempt-Id: ${attempt}\r\n`
                            + `X-Deadline-Ms: ${callerMilliseconds}\r\nContent-Length: 4\r\n\r\npago`,
                    );
                    setTimeout(resolve, callerMilliseconds);
                }
            }, lead);
        });
        socket.on("data", data => {
            result.answer += data.toString("latin1");
            if (isWhole(result.answer)) {
                resolve();
            }
        });
        socket.on("error", error => {
            result.error = error.code;
        });
        socket.on("close", resolve);
    });
    await ended;
    result.endedAt = performance.now();
    socket.destroy();
    return result;
}

function isWhole(answer) {
    const [head, body] = answer.split("\r\n\r\n");
    const length = Number(/^content-length: *(\d+)\r?$/im.exec(`${head}\r`)?.[1] ?? NaN);
    return body !== undefined && body.length === length;
}

async function play(tools) {
    const { record, sleep, isTrouble, onClose } = tools;
    const runs = new Map();
    const { network, entries } = await startDeployment({
        tools,
        zoneOf: () => "zone-1",
        isLogged: line => /event=(process_|signal_)/.test(line),
        startWorkers: async parts => {
            for (const number of [1, 2, 3, 4]) {
                const worker = await startPlainWorker({
                    ...parts,
                    ...{ number, service: "cuentas", zone: "zone-1" },
                    answer: async ({ outgoing, id, headers }) => {
                        runs.set(headers["X-Attempt-Id"], id);
                        await sleep(workMilliseconds);
                        const text = `answer to ${headers["X-Attempt-Id"]}`;
                        outgoing.writeHead(200, { ...headers, "X-Response-Stamp": `s.${id}`, "Content-Length": text.length });
                        outgoing.end(text);
                    },
                });
                onClose(worker.close);
            }
        },
    });
    const nodes = [...entries.values()];
    const balancer = startBalancer({ nodes, port: network.ports.readiness, record });
    onClose(balancer.close);
    const calls = [];
    const timer = setInterval(() => {
        const node = balancer.pick();
        const attempt = `a${calls.length.toString(16).padStart(15, "0")}`;
        const lead = Math.random() * maxLeadMilliseconds;
        calls.push(call({ host: node.host, port: network.ports.callers, attempt, lead }).then(result => ({ ...result, node })));
    }, 1_000 / requestsPerSecond);
    onClose(() => clearInterval(timer));
    await sleep(4_000);
    for (let roll = 0; roll < rolls; roll++) {
        const nextAt = performance.now() + rollMilliseconds;
        for (const node of isTrouble ? nodes : []) {
            record(`${node.name} gets SIGTERM`);
            node.signal("SIGTERM");
            await sleep(rollGapMilliseconds);
        }
        await sleep(nextAt - performance.now());
    }
    clearInterval(timer);
    const results = await Promise.all(calls);
    const answered = results.filter(({ answer }) => isWhole(answer)).length;
    const unread = results.filter(({ attempt, answer }) => !runs.has(attempt) && answer === "").length;
    record(`${results.length} requests: ${answered} answered, ${unread} not read, ${runs.size} run by workers`);
    if (runs.size === 0) {
        throw new CannotRun("no request was run");
    }
    const lost = results.filter(({ attempt, answer }) => runs.has(attempt) && !isWhole(answer));
    return lost.map(({ attempt, node, sentAt, endedAt, openedAt, error, answer }) =>
        `${attempt}, sent to ${node.name} ${Math.round(sentAt - openedAt)} ms after its connection was opened, was run by worker `
            + `${runs.get(attempt)}; its connection ended ${Math.round(endedAt - sentAt)} ms later without a whole answer `
            + `(${error ?? "closed"}, ${answer.length} bytes)`
    );
}

await runScript(fileURLToPath(new URL("record.txt", import.meta.url)), play);

// Clients of the platform: one request on a connection of its own.
import { request } from "node:http";
import { recorder } from "./recorder.js";

let lastAttempt = 0;

/** A new attempt identifier. */
export const nextAttempt = () => `${process.pid.toString(16)}-${(++lastAttempt).toString(16).padStart(6, "0")}`;

/**
 * Sends one request. Resolves with its answer, with `isComplete` false if it was cut; `status` is 0 without an answer.
 */
export function call({ entry, agent = false, path, method = "GET", headers = {}, body, deadline = 1_000, attempt = nextAttempt() }) {
    return new Promise(resolve => {
        const startedAt = performance.now();
        recorder.record(`sent ${attempt} ${method} ${path} to ${entry.name}`);
        const finish = result => {
            const milliseconds = Math.round(performance.now() - startedAt);
            const cut = result.isComplete ? "" : ` cut ${result.error ?? ""}`;
            recorder.record(`answered ${attempt} ${result.status}${cut} after ${milliseconds} ms`);
            resolve({ attempt, milliseconds, ...result });
        };
        const outgoing = request({
            host: entry.host,
            port: entry.port,
            path,
            method,
            agent,
            headers: { Host: "shop.example", "X-Attempt-Id": attempt, "X-Deadline-Ms": String(deadline), ...headers },
        });
        const timer = setTimeout(() => outgoing.destroy(new Error("the client gave up")), deadline + 500);
        outgoing.on("response", incoming => {
            const chunks = [];
            incoming.on("data", chunk => chunks.push(chunk));
            incoming.on("error", () => undefined);
            incoming.on("close", () => {
                clearTimeout(timer);
                finish({
                    status: incoming.statusCode,
                    headers: incoming.headers,
                    body: Buffer.concat(chunks).toString("latin1"),
                    isComplete: incoming.complete,
                });
            });
        });
        outgoing.on("error", error => {
            clearTimeout(timer);
            finish({ status: 0, headers: {}, body: "", isComplete: false, error: error.code ?? error.message });
        });
        outgoing.end(body);
    });
}

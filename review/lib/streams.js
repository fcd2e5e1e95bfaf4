// Clients of streams: they read events and take a broken stream up again at another machine.
import { request } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { nextAttempt } from "./clients.js";
import { recorder } from "./recorder.js";

const giveUpMilliseconds = 300;

/** Reads one answer. Resolves with its events, as pairs of identifier and data. */
function readStream({ entry, path, headers, deadline }) {
    const attempt = nextAttempt();
    const events = [];
    const resumed = headers.Resumes ? ` after event ${headers["Last-Event-Id"]} of ${headers.Resumes}` : "";
    recorder.record(`sent ${attempt} POST ${path} to ${entry.name}${resumed}`);
    return new Promise(resolve => {
        const finish = (status, isComplete) => {
            clearTimeout(timer);
            const cut = isComplete ? "" : " cut";
            recorder.record(`answered ${attempt} ${status}${cut}, events ${events.map(([id]) => id).join(",")}`);
            resolve({ attempt, status, isComplete, events });
        };
        const outgoing = request({
            host: entry.host,
            port: entry.port,
            path,
            method: "POST",
            agent: false,
            headers: { Host: "shop.example", "X-Attempt-Id": attempt, "X-Deadline-Ms": String(deadline), ...headers },
        });
        const timer = setTimeout(() => outgoing.destroy(), deadline + giveUpMilliseconds);
        outgoing.on("error", () => finish(0, false));
        outgoing.on("response", incoming => {
            let text = "";
            incoming.on("data", data => {
                text += data;
                for (let end = text.indexOf("\n\n"); end >= 0; end = text.indexOf("\n\n")) {
                    const [, id, value] = /id: (\d+)\ndata: (.*)/.exec(text.slice(0, end)) ?? [];
                    events.push([Number(id), value]);
                    text = text.slice(end + 2);
                }
            });
            incoming.on("error", () => undefined);
            incoming.on("close", () => finish(incoming.statusCode, incoming.complete));
        });
        outgoing.end("query");
    });
}

/**
 * Reads a stream to its end, with one retry at another machine.
 * @returns the answers in their order, and all events
 */
export async function followStream({ entries, number, path, headers, deadline }) {
    const answers = [];
    let first;
    for (let attempt = 0; attempt < 2; attempt++) {
        const last = answers.flatMap(({ events }) => events).at(-1);
        const resumption = first && { Resumes: first, "Last-Event-Id": String(last[0]) };
        const entry = entries[(number + attempt) % entries.length];
        const answer = await readStream({ entry, path, deadline, headers: { ...headers, ...resumption } });
        answers.push(answer);
        first ??= answer.events.length > 0 ? answer.attempt : undefined;
        if (answer.isComplete && answer.status === 200) {
            break;
        }
        await sleep(50);
    }
    return { answers, events: answers.flatMap(({ events }) => events) };
}

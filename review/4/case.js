// An engine's stream has an event without end, in small chunks.
import { setTimeout as sleep } from "node:timers/promises";
import { call } from "../lib/clients.js";
import { startFleet } from "../lib/fleet.js";
import { confirm, dossier, lookup, query } from "../lib/load.js";
import { hasTrouble, runCase } from "../lib/script.js";
import { writeWithoutEnd } from "../lib/workers.js";

const seconds = 60;
/** The disruption lasts for 5 s and comes again every 15 s. */
const faultSeconds = 5;
const periodSeconds = 15;
/** Meanwhile, one in fifty answers of two of four engines has an event without end: 2 in 100. */
const answersPerFault = 50;
const chunkBytes = 4;
const timeoutMilliseconds = 1_000;
const graceMilliseconds = 500;
/** Clients wait longer than the operator wants them kept waiting. */
const deadline = 2_500;

await runCase(new URL("record.txt", import.meta.url), async ({ record, onEnd }) => {
    const beganAt = performance.now();
    const isDisturbed = () => hasTrouble && (performance.now() - beganAt) / 1_000 % periodSeconds < faultSeconds;
    let answers = 0;
    const answerFaulty = (request, outgoing) => {
        answers += isDisturbed() ? 1 : 0;
        if (!isDisturbed() || answers % answersPerFault !== 0) {
            return false;
        }
        record(`engine answers ${request.attempt} with an event without end`);
        outgoing.writeHead(200, { "Content-Type": "text/event-stream" });
        outgoing.write("id: 1\ndata: ");
        writeWithoutEnd(outgoing, chunkBytes, bytes => record(`${request.attempt} was closed after ${bytes} bytes`));
        return true;
    };
    const { entries, workers } = await startFleet({
        record,
        onEnd,
        zones: ["kacyiru", "remera"],
        desks: [{}, {}, {}],
        engines: [answerFaulty, undefined, answerFaulty, undefined].map(answer => ({ stage: "decode", answer })),
    });

    const results = [];
    const startedAt = performance.now();
    const open = [];
    let number = 0;
    const send = async request => {
        const entry = entries[number++ % entries.length];
        const answer = await call({ entry, ...request });
        results.push({ entry: entry.name, request, ...answer });
        if (answer.status !== 200 || !answer.isComplete || answer.milliseconds > timeoutMilliseconds) {
            const { attempt, status, isComplete, error, milliseconds } = answer;
            const text = isComplete ? status : `${status} cut ${error ?? ""}`;
            record(`${attempt} ${request.path} at ${entry.name}: ${text} after ${milliseconds} ms`);
        }
    };
    while (performance.now() - startedAt < seconds * 1_000) {
        open.push(send(query(number)), send(query(number)), send(dossier(number)));
        open.push(send({ ...lookup(number), deadline }), send({ ...confirm(number), deadline }));
        await sleep(100);
    }
    await Promise.all(open);

    const plain = results.filter(({ request }) => request.path.startsWith("/lookup") || request.path.startsWith("/confirm"));
    const answered = plain.filter(({ status }) => status === 200).length;
    // Requests that found no connection were not read, so the machine did not keep them waiting.
    const waiting = plain.filter(({ milliseconds }) => milliseconds >= timeoutMilliseconds);
    const late = waiting.filter(({ milliseconds }) => milliseconds >= timeoutMilliseconds + graceMilliseconds);
    record(`run: ${JSON.stringify(Object.fromEntries(workers.map(({ id, runs }) => [id, runs.length])))}`);
    record(`${plain.length} plain requests, ${answered} answered with 200`);
    record(`${waiting.length} unanswered at their route's timeoutMs, ${late.length} of them half a second later`);
    return late.length > waiting.length / 2
        ? `${late.length} of ${waiting.length} requests without an answer at timeoutMs had none half a second later`
        : undefined;
});

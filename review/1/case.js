// An engine's answer to a prefill has a body without end, in small chunks.
import { runCase, hasTrouble } from "../lib/script.js";
import { startFleet } from "../lib/fleet.js";
import { confirm, dossier, lookup, query, sendLoad } from "../lib/load.js";
import { writeWithoutEnd } from "../lib/workers.js";

const seconds = 80;
/** The disruption lasts for 5 s and comes again every 8 s. */
const faultSeconds = 5;
const periodSeconds = 8;
/** Meanwhile, one in fifty answers of one of three engines has no end: 2 in 100. */
const answersPerFault = 50;
const chunkBytes = 4;
const minMachines = 2;
const minEnds = 3;

await runCase(new URL("record.txt", import.meta.url), async ({ record, onEnd }) => {
    const startedAt = performance.now();
    const isDisturbed = () => hasTrouble && (performance.now() - startedAt) / 1_000 % periodSeconds < faultSeconds;
    let answers = 0;
    const answerFaulty = (call, outgoing) => {
        answers += isDisturbed() ? 1 : 0;
        if (!isDisturbed() || answers % answersPerFault !== 0) {
            return false;
        }
        record(`engine answers ${call.attempt} (prefill: ${call.isPrefill}) without end`);
        outgoing.writeHead(200, { "Content-Type": "application/json" });
        writeWithoutEnd(outgoing, chunkBytes, bytes => record(`${call.attempt} was closed after ${bytes} bytes`));
        return true;
    };
    const { entries, workers } = await startFleet({
        record,
        onEnd,
        zones: ["kacyiru", "remera"],
        desks: [{}, {}, {}],
        engines: [{ stage: "prefill", answer: answerFaulty }, { stage: "decode" }, { stage: "decode" }],
    });
    const counts = new Map();
    await sendLoad({
        entries,
        seconds,
        rates: [[dossier, 10.9], [query, 20], [confirm, 11], [lookup, 4.4]],
        onAnswer: (request, entry, { attempt, status, isComplete, error, milliseconds }) => {
            const kind = request.path.split("/")[1];
            const result = `${kind} ${isComplete ? status : `${status} cut ${error ?? ""}`}`;
            counts.set(result, (counts.get(result) ?? 0) + 1);
            if (!isComplete) {
                record(`${attempt} ${request.path} at ${entry.name}: ${result} after ${milliseconds} ms`);
            }
        },
    });
    record(`sent and answered: ${JSON.stringify(Object.fromEntries([...counts].sort()))}`);
    record(`run: ${JSON.stringify(Object.fromEntries(workers.map(({ id, runs }) => [id, runs.length])))}`);
    const ends = entries.map(({ name, ends, log }) => {
        const own = ends.filter(({ expected }) => !expected).length;
        const reason = /FATAL ERROR: .*/.exec(log)?.[0] ?? "";
        record(`${name}: ${own} ends by themselves. ${reason}`);
        return own;
    });
    const machines = ends.filter(count => count >= minEnds).length;
    return machines >= minMachines
        ? `processes ended by themselves ${minEnds} times or more on ${machines} of ${entries.length} machines`
        : undefined;
});

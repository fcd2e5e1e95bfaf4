// The store comes back from a copy in which a worker that has left is listed.
import { setTimeout as sleep } from "node:timers/promises";
import { call } from "../lib/clients.js";
import { startFleet } from "../lib/fleet.js";
import { hasTrouble, runCase } from "../lib/script.js";

const drainMilliseconds = 2_000;
/** The worker serves on for `drainMs` "and a little longer" after its entry was removed, and then exits. */
const servesOnMilliseconds = 4_100;
const workMilliseconds = 600;
/** Age of the copy, and how long the store is away. */
const copyAgeMilliseconds = 3_500;
const awayMilliseconds = 500;
/** When the worker's removal is written again after the store has come back. */
const rewrittenMilliseconds = 2_000;

await runCase(new URL("record.txt", import.meta.url), async ({ record, onEnd }) => {
    const zones = ["kacyiru", "remera"];
    /** When each process was told by the store that the worker is gone. */
    const toldAt = new Map();
    let leaver;
    const onRows = (caller, rows) => {
        if (leaver && rows.some(({ table, key, tombstone }) => table === "servers" && key === leaver.id && tombstone)) {
            if (!toldAt.has(caller)) {
                toldAt.set(caller, performance.now());
                record(`the store told process ${caller + 1} that ${leaver.id} is gone`);
            }
        }
    };
    /** A worker that leaves says so in all its answers. */
    const sayLeaving = id => leaver?.id === id ? { "Server-Leaving": "1", Connection: "close" } : {};
    let lastSent = 0;
    const { store, workers, entries } = await startFleet({
        record,
        onEnd,
        zones,
        onRows,
        desks: [0, 1, 2].map(() => ({ workMilliseconds, fields: sayLeaving })),
        engines: [],
    });

    const sent = new Map();
    const answers = new Map();
    let isSending = true;
    const sending = (async () => {
        const open = [];
        while (isSending) {
            entries.forEach((entry, index) => {
                const request = { entry, path: `/confirm/process-${index + 1}/${++lastSent}`, method: "POST", body: "x" };
                const sentAt = performance.now();
                open.push(call({ ...request, deadline: 1_000 }).then(answer => {
                    answers.set(answer.attempt, { ...answer, answeredAt: performance.now() });
                    sent.set(answer.attempt, { index, sentAt });
                }));
            });
            await sleep(25);
        }
        await Promise.all(open);
    })();

    await sleep(3_000);
    const copy = store.copy();
    const copiedAt = performance.now();
    await sleep(copyAgeMilliseconds - 2_500 - awayMilliseconds + 1_000);
    [leaver] = workers;
    leaver.stopBeats();
    store.remove("servers", leaver.id);
    const leftAt = performance.now();
    record(`${leaver.id} leaves: its entry is removed`);
    const exit = sleep(servesOnMilliseconds).then(() => {
        record(`${leaver.id} exits`);
        leaver.close();
    });
    await sleep(drainMilliseconds + 500);
    if (hasTrouble) {
        record("the store is away");
        store.leave();
        await sleep(awayMilliseconds);
        store.restore(copy);
        record(`the store is back from a copy that is ${Math.round(performance.now() - copiedAt)} ms old`);
        await sleep(rewrittenMilliseconds);
        store.remove("servers", leaver.id);
        record(`the removal of ${leaver.id} is written again`);
    }
    await exit;
    await sleep(2_000);
    isSending = false;
    await sending;

    /** When each process had first passed on an answer in which the worker says that it leaves. */
    const passedOnAt = new Map();
    for (const [attempt, { headers, answeredAt }] of answers) {
        const { index } = sent.get(attempt);
        if (headers["server-leaving"] === "1") {
            passedOnAt.set(index, Math.min(answeredAt, passedOnAt.get(index) ?? Infinity));
        }
    }
    let late = 0;
    let lateAfterWord = 0;
    let lost = 0;
    for (const run of leaver.runs) {
        const { index, sentAt } = sent.get(run.attempt) ?? {};
        const answer = answers.get(run.attempt);
        const told = toldAt.get(index) ?? Infinity;
        const passedOn = passedOnAt.get(index) ?? Infinity;
        late += sentAt > told + drainMilliseconds ? 1 : 0;
        lateAfterWord += sentAt > passedOn + drainMilliseconds ? 1 : 0;
        if (sentAt > Math.min(told, passedOn) + drainMilliseconds) {
            lost += answer.status === 200 && answer.isComplete ? 0 : 1;
            const times = [told, passedOn].map(at => at === Infinity ? "not" : `${Math.round(sentAt - at)} ms before`);
            record(`${run.url} was sent and ran at ${leaver.id}; process ${index + 1} was told by the store ${times[0]}, `
                + `and had passed on the worker's word ${times[1]}; answer: ${answer.status} ${answer.isComplete ? "" : "cut"}`);
        }
    }
    record(`${leaver.runs.length} runs at ${leaver.id}, left for ${Math.round(performance.now() - leftAt)} ms`);
    return late + lateAfterWord > 0
        ? `of the requests that reached the worker that had left, ${late} were sent over drainMs after their process was told `
            + `by the store, and ${lateAfterWord} over drainMs after it had passed on an answer with Server-Leaving; `
            + `${lost} were lost when the worker exited`
        : undefined;
});

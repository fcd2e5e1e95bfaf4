// The usual load of the site: prompts, confirmations and lookups at a steady rate.
import { setTimeout as sleep } from "node:timers/promises";
import { call } from "./clients.js";

const tickMilliseconds = 25;

export const dossier = number => ({
    path: `/dossier/${number}`,
    method: "POST",
    headers: {
        "X-Model": "m",
        "X-Token-Counts": "17020,13",
        "X-Prompt-Prefix": `5c1e07${100 + number * 7 % 97}:13300,${(number + 4096).toString(16)}:3720`,
    },
    body: "dossier",
    deadline: 6_000,
});

export const query = number => ({
    path: `/query/${number}`,
    method: "POST",
    headers: {
        "X-Model": "m",
        "X-Token-Counts": "383,5",
        "X-Prompt-Prefix": `91bd3f${100 + number * 7 % 97}:92,${(number + 4096).toString(16)}:291`,
    },
    body: "query",
    deadline: 3_000,
});

export const confirm = number => ({ path: `/confirm/${number}`, method: "POST", body: "confirm", deadline: 1_000 });

export const lookup = number => ({ path: `/lookup/${number}`, deadline: 1_000 });

/**
 * Sends requests for some seconds and waits for their answers.
 * @param rates pairs of a function that creates a request and the requests a second
 * @param onAnswer gets the request, its entry and the answer
 */
export async function sendLoad({ entries, seconds, rates, onAnswer }) {
    const startedAt = performance.now();
    const sent = rates.map(() => 0);
    const open = [];
    let number = 0;
    while (performance.now() - startedAt < seconds * 1_000) {
        rates.forEach(([create, perSecond], index) => {
            while (sent[index] < (performance.now() - startedAt) / 1_000 * perSecond) {
                sent[index] += 1;
                const request = create(number);
                const entry = entries[number % entries.length];
                number += 1;
                open.push(call({ entry, ...request }).then(answer => onAnswer(request, entry, answer)));
            }
        });
        await sleep(tickMilliseconds);
    }
    await Promise.all(open);
}

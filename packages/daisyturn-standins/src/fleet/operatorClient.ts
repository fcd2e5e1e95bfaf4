import type { ChangeAnswer, ItemChange } from "daisyturn";
import { randomUUID } from "node:crypto";
import { request } from "undici";

const callLimitMilliseconds = 20_000;

/** Publishes a change through one entry process. Throws an error with the status and the body if it is refused. */
export async function publishChange(
    operatorUrl: string,
    key: string,
    changes: readonly ItemChange[],
): Promise<ChangeAnswer> {
    const answer = await request(`${operatorUrl}/v1/changes`, {
        method: "POST",
        headers: { authorization: `Bearer ${key}`, "content-type": "application/json" },
        body: JSON.stringify({ writeId: randomUUID(), changes }),
        headersTimeout: callLimitMilliseconds,
        bodyTimeout: callLimitMilliseconds,
    });
    const text = await answer.body.text();
    if (answer.statusCode !== 200) {
        throw new Error(`publishing failed with ${answer.statusCode}: ${text}`);
    }
    return JSON.parse(text) as ChangeAnswer;
}

import { FailureReason } from "daisyturn-utils";
import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { maxDeadlineDistanceMilliseconds, parseDeadline } from "../../parseDeadline.js";
import { CompletionForm, parseCompletion } from "../parseCompletion.js";

const secret = "7c1e-very-private";
const now = 1_700_000_000_000;

describe("parsing a completion", () => {
    test("any text gives a body or a refusal that does not contain the text", () => {
        const fields = fc.constantFrom("model", "messages", "prompt", "stream", "n", "stop", "max_tokens", "tools");
        const value = fc.oneof(fc.jsonValue(), fc.constant(secret), fc.constant([{ role: "user", content: secret }]));
        const text = fc.oneof(
            fc.string(),
            fc.json(),
            fc.dictionary(fields, value, { maxKeys: 6 }).map(body => JSON.stringify(body)),
        );
        fc.assert(
            fc.property(fc.constantFrom(...Object.values(CompletionForm)), text, (form, body) => {
                const parsed = parseCompletion(form, body);
                if (parsed.isErr) {
                    assert.equal(parsed.error.reason, FailureReason.BadRequest);
                    assert.ok(!parsed.error.message.includes(secret));
                }
            }),
            { seed: 11, numRuns: 2_000 },
        );
    });

    test("conversations with a common beginning give prompts with a common prefix", () => {
        const role = fc.constantFrom("system", "user", "assistant");
        const message = fc.record({ role, content: fc.string() });
        fc.assert(
            fc.property(fc.array(message, { minLength: 1 }), message, (messages, last) => {
                const prompt = (turns: readonly object[]) =>
                    parseCompletion(CompletionForm.Chat, JSON.stringify({ model: "m", messages: turns }))
                        .map(body => body.prompt).unwrapOr("").replace(/<\|assistant\|>\n$/, "");
                assert.ok(prompt([...messages, last]).startsWith(prompt(messages)));
            }),
            { seed: 12, numRuns: 200 },
        );
    });

    test("only the requested sampling parameters are passed to the engine", () => {
        const sampling = "\"temperature\":0,\"top_p\":null,\"seed\":4,\"stop\":\"x\"";
        const body = `{"model":"m","prompt":"p",${sampling},"user":"u","tools":[]}`;
        const parsed = parseCompletion(CompletionForm.Text, body).unwrapOr(undefined);
        assert.deepEqual(parsed?.sampling, { temperature: 0, topP: undefined, seed: 4, stop: ["x"] });
    });
});

describe("parsing a deadline", () => {
    test("gives a time within the next day or a refusal", () => {
        const header = fc.oneof(fc.string(), fc.integer().map(String), fc.date().map(date => String(date.getTime())));
        fc.assert(
            fc.property(header, text => {
                const parsed = parseDeadline(text, now);
                if (parsed.isOk) {
                    assert.ok(parsed.value! > now && parsed.value! <= now + maxDeadlineDistanceMilliseconds);
                }
            }),
            { seed: 13, numRuns: 1_000 },
        );
        assert.equal(parseDeadline(new Date(now + 5).toISOString(), now).unwrapOr(0), now + 5);
        assert.equal(parseDeadline("2023-11-15T00:13:21+02:00", now).unwrapOr(0), now + 1_000);
    });
});

import { EventKind, FailureReason, notRun } from "daisyturn-utils";
import assert from "node:assert/strict";
import { afterEach, describe, test } from "node:test";
import OpenAI from "openai";
import { generate } from "selfsigned";
import { err, ok } from "true-myth/result";
import { Agent, request } from "undici";
import { waitUntil } from "../__fixtures__/callerRequests.js";
import { callerKey, createCallerBench } from "../__fixtures__/createCallerBench.js";
import { answerText, yieldBroken, yieldUntilCancelled } from "../__fixtures__/createScriptedEngine.js";

type Bench = Awaited<ReturnType<typeof createCallerBench>>;

const messages = [{ role: "user", content: "What is a 2014 hatchback worth?" }] as const;

describe("caller server", () => {
    let bench: Bench;

    const open = async (...options: Parameters<typeof createCallerBench>) => {
        bench = await createCallerBench(...options);
        return bench;
    };

    const connect = () => new OpenAI({ apiKey: callerKey, baseURL: `${bench.url}/v1`, maxRetries: 0 });

    afterEach(() => bench.server.stop());

    test("answers a chat completion in one response", async () => {
        await open();
        const completion = await connect().chat.completions.create({ model: "valuation", messages: [...messages] });
        assert.equal(completion.choices[0]?.message.content, answerText(8));
        assert.equal(completion.usage?.completion_tokens, 8);
    });

    test("streams a chat completion token by token", async () => {
        await open();
        const stream = await connect().chat.completions.create({
            model: "valuation",
            messages: [...messages],
            stream: true,
        });
        const deltas: string[] = [];
        for await (const chunk of stream) {
            deltas.push(chunk.choices[0]?.delta.content ?? "");
        }
        assert.equal(deltas.join(""), answerText(8));
        assert.ok(deltas.length >= 8);
    });

    test("the OpenAI client throws its own error types, which contain the verdict", async () => {
        await open();
        const client = connect();
        const complete = (model: string) => client.chat.completions.create({ model, messages: [...messages] });
        await assert.rejects(complete("nobody"), OpenAI.NotFoundError);
        await assert.rejects(complete("closed"), OpenAI.PermissionDeniedError);
        bench.engines.forEach(engine => engine.script = [() => err(notRun(FailureReason.Overloaded, "Full."))]);
        await assert.rejects(complete("valuation"), (error: unknown) => {
            assert.ok(error instanceof OpenAI.APIError);
            assert.deepEqual([error.status, error.code], [503, "overloaded"]);
            assert.equal((error.error as { verdict: string; }).verdict, "not_run");
            assert.match(error.requestID ?? "", /^req-/);
            return true;
        });
    });

    test("the OpenAI client throws when a stream ends with an error", async () => {
        await open();
        bench.engines.forEach(engine => engine.script = [() => ok(yieldBroken(0, 3))]);
        const stream = await connect().chat.completions.create({
            model: "valuation",
            messages: [...messages],
            stream: true,
        });
        await assert.rejects(async () => {
            for await (const chunk of stream) {
                assert.ok(chunk.choices.length > 0);
            }
        }, OpenAI.APIError);
    });

    test("abort and timeout of the OpenAI client cancel the request on the engine", async () => {
        await open();
        const [engine] = bench.engines;
        engine.script = [(request, signal) => ok(yieldUntilCancelled(0, 2, signal))];
        const request = { model: "valuation", messages: [...messages] };
        const stream = await connect().chat.completions.create({ ...request, stream: true });
        stream.controller.abort();
        await waitUntil(() => engine.cancelled.length === 1);
        await assert.rejects(
            connect().chat.completions.create(request, { timeout: 50 }),
            OpenAI.APIConnectionTimeoutError,
        );
        await waitUntil(() => engine.cancelled.length === 2);
    });

    test("the OpenAI client does not retry a request whose answer says that it should not", async () => {
        await open();
        const client = new OpenAI({ apiKey: callerKey, baseURL: `${bench.url}/v1`, maxRetries: 3 });
        const headers = { "X-Deadline": String(Date.now() - 5) };
        const request = { model: "valuation", messages: [...messages] };
        await assert.rejects(client.chat.completions.create(request, { headers }), OpenAI.InternalServerError);
        assert.equal(bench.eventLog.of(EventKind.RequestRefused).length, 1);
    });

    test("serves over TLS with the given certificate", async () => {
        const { cert, private: key } = await generate([{ name: "commonName", value: "entry" }], { keyType: "ec" });
        await open({ tls: { certificate: cert, key } });
        const agent = new Agent({ connect: { ca: cert, servername: "entry", checkServerIdentity: () => undefined } });
        const answer = await request(`https://127.0.0.1:${bench.port}/healthz`, { dispatcher: agent });
        assert.equal(await answer.body.text(), "ok\n");
        await agent.close();
    });

    test("refuses an unknown key with a verdict", async () => {
        await open();
        const answer = await fetch(`${bench.url}/v1/chat/completions`, {
            method: "POST",
            headers: { "Content-Type": "application/json" },
            body: "{}",
        });
        assert.equal(answer.status, 401);
        const body = await answer.json() as { error: { code: string; verdict: string; }; };
        assert.equal(body.error.code, "unauthenticated");
        assert.equal(body.error.verdict, "not_run");
    });
});

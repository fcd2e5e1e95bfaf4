import assert from "node:assert/strict";
import { once } from "node:events";
import { afterEach, describe, test } from "node:test";
import { ok } from "true-myth/result";
import { type StreamEvent, StreamEventKind } from "../../../ports/engine.js";
import {
    completionBody,
    jsonHeaders,
    openRaw,
    postCompletion,
    readToEnd,
    waitUntil,
} from "../__fixtures__/callerRequests.js";
import { type BenchOptions, callerKey, createCallerBench } from "../__fixtures__/createCallerBench.js";
import {
    endMark,
    tokenText,
    yieldAnswer,
    yieldTokens,
    yieldUntilCancelled,
} from "../__fixtures__/createScriptedEngine.js";

const path = "/v1/chat/completions";
const head = `POST ${path} HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer ${callerKey}\r\n`
    + "Content-Type: application/json\r\n";
const body = JSON.stringify(completionBody);
const withLength = (text: string) => `${head}Content-Length: ${Buffer.byteLength(text)}\r\n\r\n${text}`;

describe("bad input", () => {
    let bench: Awaited<ReturnType<typeof createCallerBench>>;

    const open = async (options?: BenchOptions) => {
        bench = await createCallerBench(options);
        return bench;
    };

    const sendRaw = (text: string) => readToEnd(openRaw(bench.port, text));

    afterEach(async () => {
        await bench.server.stop();
        await waitUntil(() => bench.admitted() === 0 && bench.pinned() === 0);
    });

    const badBodies: readonly [string, string | Uint8Array, number][] = [
        ["broken JSON", "{\"model\": ", 400],
        ["an array instead of an object", "[]", 400],
        ["an unknown service", JSON.stringify({ ...completionBody, model: "nobody" }), 404],
        ["a service of another account", JSON.stringify({ ...completionBody, model: "closed" }), 403],
        ["no messages", JSON.stringify({ ...completionBody, messages: [] }), 400],
        ["a wrong type", JSON.stringify({ ...completionBody, max_tokens: "many" }), 400],
        [
            "an image",
            JSON.stringify({ ...completionBody, messages: [{ role: "user", content: [{ type: "image" }] }] }),
            400,
        ],
        ["tools", JSON.stringify({ ...completionBody, tools: [{ type: "function" }] }), 400],
        ["several answers", JSON.stringify({ ...completionBody, n: 2 }), 400],
        ["invalid UTF-8", Uint8Array.of(0x22, 0xff, 0x22), 400],
    ];
    for (const [name, text, status] of badBodies) {
        test(`a body with ${name} is refused as not run`, async () => {
            const { url, engines } = await open();
            const answer = await fetch(`${url}${path}`, { method: "POST", headers: jsonHeaders, body: text });
            assert.equal(answer.status, status);
            const { error } = await answer.json() as { error: { verdict: string; }; };
            assert.equal(error.verdict, "not_run");
            assert.match(answer.headers.get("x-request-id") ?? "", /^req-/);
            assert.equal(answer.headers.get("x-should-retry"), "false");
            assert.equal(engines[0].received.length, 0);
        });
    }

    test("deadlines that are malformed, too far away or in the past are refused", async () => {
        const { url } = await open();
        const now = Date.now();
        const statuses: readonly [string, number][] = [
            ["soon", 400],
            ["-5", 400],
            ["1e13", 400],
            ["2026-01-01", 400],
            [String(Math.floor(now / 1000)), 400],
            [String(now + 2 * 86_400_000), 400],
            [String(now - 10), 504],
            [new Date(now + 5_000).toISOString(), 200],
        ];
        for (const [deadline, status] of statuses) {
            assert.equal((await postCompletion(url, {}, { "X-Deadline": deadline })).status, status, deadline);
        }
    });

    test("unsupported methods, content types, encodings and paths are refused with their own status", async () => {
        const { url } = await open();
        const wrongMethod = await fetch(`${url}${path}`, { headers: jsonHeaders });
        assert.deepEqual([wrongMethod.status, wrongMethod.headers.get("allow")], [405, "POST"]);
        assert.equal((await fetch(`${url}${path}`, { method: "HEAD" })).status, 405);
        const options = await fetch(`${url}${path}`, { method: "OPTIONS" });
        assert.deepEqual([options.status, options.headers.get("allow")], [204, "POST"]);
        assert.equal((await postCompletion(url, {}, { "Content-Type": "text/plain" })).status, 415);
        assert.equal((await postCompletion(url, {}, { "Content-Encoding": "gzip" })).status, 415);
        assert.equal((await fetch(`${url}/nowhere`)).status, 404);
        assert.equal((await fetch(`${url}/readyz`, { method: "HEAD" })).status, 200);
    });

    test("an announced body that is too long is refused before it is sent", async () => {
        await open({ limits: { maxBodyBytes: 100 } });
        assert.match(await sendRaw(`${head}Content-Length: 101\r\n\r\n`), /^HTTP\/1.1 413 .*Connection: close/s);
        const asking = await sendRaw(`${head}Expect: 100-continue\r\nContent-Length: 101\r\n\r\n`);
        assert.match(asking, /^HTTP\/1.1 413 /);
    });

    test("the body of a refused request is still read, so that no connection reset hides the refusal", async () => {
        const { url } = await open({ limits: { maxBodyBytes: 100, lingerMilliseconds: 60_000 } });
        const socket = openRaw(bench.port, `${head}Content-Length: 101\r\n\r\n`);
        const answer = readToEnd(socket);
        await once(socket, "data");
        assert.equal((await fetch(`${url}/healthz`)).status, 200);
        assert.equal(socket.readableEnded, false);
        socket.write("x".repeat(101));
        assert.match(await answer, /^HTTP\/1.1 413 /);
    });

    test("a body without announced length is refused once it exceeds the limit", async () => {
        await open({ limits: { maxBodyBytes: 100 } });
        const chunk = `40\r\n${"x".repeat(0x40)}\r\n`;
        const answer = await sendRaw(`${head}Transfer-Encoding: chunked\r\n\r\n${chunk}${chunk}`);
        assert.match(answer, /^HTTP\/1.1 413 .*Connection: close/s);
    });

    test("the total size of the bodies of all running requests is limited", async () => {
        const { url, engines } = await open({ limits: { maxTotalBodyBytes: body.length + 50 } });
        engines[0].script = [(request, signal) => ok(yieldUntilCancelled(0, 1, signal))];
        const caller = new AbortController();
        const running = await postCompletion(url, { stream: true }, {}, caller.signal);
        assert.equal((await postCompletion(url, {})).status, 503);
        caller.abort();
        await assert.rejects(running.text());
        await waitUntil(() => bench.admitted() === 0);
        engines[0].script = [() => ok(yieldAnswer(0, 8))];
        assert.equal((await postCompletion(url, {})).status, 200);
    });

    test("requests whose header or body arrives too slowly are refused", async () => {
        await open({ limits: { headerMilliseconds: 60, bodyMilliseconds: 60 } });
        const slowHeader = sendRaw(`POST ${path} HTTP/1.1\r\nHost: en`);
        const slowBody = sendRaw(`${head}Content-Length: 400\r\n\r\n{"mod`);
        assert.match(await slowHeader, /^HTTP\/1.1 408 /);
        assert.match(await slowBody, /^HTTP\/1.1 400 .*did not arrive in time/s);
    });

    test("too many or too long header fields are refused rather than silently dropped", async () => {
        await open({ limits: { maxHeaderCount: 20, maxHeaderBytes: 2_000 } });
        const many = Array.from({ length: 21 }, (value, index) => `X-${index}: 1\r\n`).join("");
        assert.match(await sendRaw(`${head}${many}Connection: close\r\n\r\n`), /^HTTP\/1.1 400 .*header fields/s);
        assert.match(await sendRaw(`${head}X-Long: ${"x".repeat(3_000)}\r\n\r\n`), /^HTTP\/1.1 431 /);
    });

    test("repeated singleton header fields are refused", async () => {
        await open();
        for (const field of ["Authorization: Bearer other", "Idempotency-Key: a\r\nIdempotency-Key: b"]) {
            const answer = await sendRaw(`${head}${field}\r\nConnection: close\r\n\r\n`);
            assert.match(answer, /^HTTP\/1.1 400 .*may stand only once/s);
        }
    });

    test("bytes that are not a valid request are refused", async () => {
        await open();
        assert.match(await sendRaw("nonsense\r\n\r\n"), /^HTTP\/1.1 400 .*bad_request/s);
        const smuggled = `${head}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`;
        assert.match(await sendRaw(smuggled), /^HTTP\/1.1 400 /);
    });

    test("pipelined requests are answered in order on one connection", async () => {
        const { engines } = await open();
        const slow = (async function*(): AsyncGenerator<StreamEvent> {
            await waitUntil(() => engines[0].received.length === 2);
            yield* yieldAnswer(0, 8);
        })();
        engines[0].script = [() => ok(slow), () => ok(yieldAnswer(0, 2))];
        const last = `GET /healthz HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\r\n`;
        const answer = await sendRaw(`${withLength(body)}${withLength(body)}${last}`);
        assert.deepEqual(answer.match(/"completion_tokens":\d+|\nok\n/g), [
            "\"completion_tokens\":8",
            "\"completion_tokens\":2",
            "\nok\n",
        ]);
    });

    test("invalid bytes after a running request add nothing to its answer", async () => {
        const { engines } = await open();
        engines[0].script = [(request, signal) => ok(yieldUntilCancelled(0, 2, signal))];
        const socket = openRaw(bench.port, withLength(JSON.stringify({ ...completionBody, stream: true })));
        await once(socket, "data");
        socket.write("nonsense\r\n\r\n");
        assert.doesNotMatch(await readToEnd(socket), /HTTP\/1.1 400/);
        await waitUntil(() => engines[0].cancelled.length === 1);
    });

    test("a caller that half-closes or closes its connection cancels all its pipelined requests", async () => {
        const { engines } = await open();
        engines[0].script = [(request, signal) => ok(yieldUntilCancelled(0, 0, signal))];
        for (const close of ["end", "destroy"] as const) {
            const socket = openRaw(bench.port, withLength(body) + withLength(body));
            await waitUntil(() => engines[0].received.length === (close === "end" ? 2 : 4));
            socket[close]();
            await waitUntil(() => engines[0].cancelled.length === engines[0].received.length);
            socket.destroy();
        }
        await waitUntil(() => bench.admitted() === 0);
    });

    test("a slow reader applies backpressure to the stream and is disconnected after the time limit", async () => {
        const { engines } = await open({ limits: { maxBufferedBytes: 10_000, slowReaderMilliseconds: 100 } });
        let yielded = 0;
        const endless = async function*(): AsyncGenerator<StreamEvent> {
            for (;; yielded++) {
                await Promise.resolve();
                yield { kind: StreamEventKind.Tokens, offset: yielded, tokenCount: 1, text: "x".repeat(20_000) };
            }
        };
        engines[0].script = [() => ok(endless())];
        const socket = openRaw(bench.port, withLength(JSON.stringify({ ...completionBody, stream: true })));
        socket.pause();
        await waitUntil(() => engines[0].cancelled.length === 1);
        assert.ok(yielded < 2_000, `${yielded} events were read from the engine`);
        socket.destroy();
    });

    test("a reader that catches up receives the complete answer", async () => {
        const { engines } = await open({ limits: { maxBufferedBytes: 1_000, slowReaderMilliseconds: 5_000 } });
        const count = 400;
        const long = async function*(): AsyncGenerator<StreamEvent> {
            for (let offset = 0; offset < count; offset++) {
                await Promise.resolve();
                yield { kind: StreamEventKind.Tokens, offset, tokenCount: 1, text: tokenText(offset).padEnd(20_000) };
            }
            yield* yieldTokens(0, 0);
            yield endMark(count);
        };
        engines[0].script = [() => ok(long())];
        const text = JSON.stringify({ ...completionBody, stream: true });
        const socket = openRaw(bench.port, `${withLength(text)}`);
        socket.pause();
        await waitUntil(() => (bench.running.get("engine-1") ?? 0) === 1);
        const received = readToEnd(socket);
        socket.resume();
        await waitUntil(() => (bench.running.get("engine-1") ?? 0) === 0);
        socket.end();
        assert.match(await received, new RegExp(`t${count - 1} .*\\[DONE\\]`, "s"));
    });
});

import assert from "node:assert/strict";
import { afterEach, describe, test } from "node:test";
import { ok } from "true-myth/result";
import { jsonHeaders, postCompletion, readStream, streamCompletion } from "../__fixtures__/callerRequests.js";
import {
    benchResumeKey,
    callerKey,
    createCallerBench,
    createEnginePair,
    otherPartnerKey,
} from "../__fixtures__/createCallerBench.js";
import {
    answerText,
    type ScriptedEngine,
    yieldAnswer,
    yieldUntilCancelled,
} from "../__fixtures__/createScriptedEngine.js";

type Bench = Awaited<ReturnType<typeof createCallerBench>>;

const original = { stream: true, temperature: 0 };

describe("answers resumed on another entry process", () => {
    let engines: readonly [ScriptedEngine, ScriptedEngine];
    let first: Bench;
    let second: Bench;

    /** Starts an answer on the first process and stops that process after three tokens. */
    const startAndStopFirst = async (resumeKeys = [benchResumeKey]) => {
        engines = createEnginePair();
        first = await createCallerBench({ engines });
        second = await createCallerBench({ engines, resumeKeys });
        engines[0].script = [(request, signal) => ok(yieldUntilCancelled(0, 3, signal))];
        const response = await postCompletion(first.url, original);
        const reader = response.body!.pipeThrough(new TextDecoderStream()).getReader();
        let text = "";
        while (!text.includes("id: 3\n") || !text.endsWith("\n\n")) {
            text += (await reader.read()).value ?? "";
        }
        await first.server.stop();
        await reader.cancel().catch(() => undefined);
        const headerToken = response.headers.get("x-resume-token");
        const received = readStream(text);
        assert.equal(received.resumeToken, headerToken);
        assert.equal(received.text, answerText(3));
        return received.resumeToken!;
    };

    const resume = async (token: string, body?: object, key = callerKey) => {
        const response = await fetch(`${second.url}/v1/resume`, {
            method: "POST",
            headers: {
                ...jsonHeaders,
                Authorization: `Bearer ${key}`,
                "X-Resume-Token": token,
                "Last-Event-ID": "3",
            },
            body: body && JSON.stringify(body),
        });
        return { status: response.status, text: await response.text() };
    };

    const readCode = (text: string) => (JSON.parse(text) as { error: { code: string; }; }).error.code;

    const scriptResume = () => {
        engines[0].resumeScript = (streamId, offset) => {
            assert.equal(streamId, engines[0].received[0]?.streamId);
            return ok(yieldAnswer(offset, 8));
        };
    };

    afterEach(() => second.server.stop());

    test("the engine's stream continues at the caller's offset", async () => {
        const token = await startAndStopFirst();
        scriptResume();
        const resumed = readStream((await resume(token)).text);
        assert.equal(answerText(3) + resumed.text, answerText(8));
        assert.ok(resumed.isDone);
        assert.deepEqual(resumed.events[0]?.id, "4");
        assert.equal(second.running.get("engine-1"), 0);
    });

    test("repeating the request with the resume token in its header continues the stream as well", async () => {
        const token = await startAndStopFirst();
        scriptResume();
        const headers = { "X-Resume-Token": token, "Last-Event-ID": "3" };
        const resumed = await streamCompletion(second.url, original, headers);
        assert.equal(answerText(3) + resumed.text, answerText(8));
        assert.equal(engines[0].received.length, 1);
    });

    test("tokens signed with the second key are accepted during a key rotation", async () => {
        const token = await startAndStopFirst(["key-of-tomorrow", benchResumeKey]);
        scriptResume();
        assert.equal((await resume(token)).status, 200);
    });

    test("a lost stream is regenerated from the offset if the request is repeated and deterministic", async () => {
        const token = await startAndStopFirst();
        const request = { ...original, model: "valuation", messages: [{ role: "user", content: "What is it worth?" }] };
        const resumed = readStream((await resume(token, { request })).text);
        assert.equal(answerText(3) + resumed.text, answerText(8));
        assert.equal(engines[1].received[0]?.startOffset, 3);
        assert.deepEqual(second.placements.map(({ request }) => request.softwareVersion), ["v1"]);
        assert.match(Buffer.from(resumed.resumeToken ?? "", "base64url").toString(), /"engine":"engine-2"/);
    });

    test("a lost stream with sampling is regenerated only with the text that the caller has received", async () => {
        engines = createEnginePair();
        const sampled = { ...original, temperature: 1 };
        first = await createCallerBench({ engines });
        second = await createCallerBench({ engines });
        const token = (await streamCompletion(first.url, sampled)).resumeToken!;
        await first.server.stop();
        const request = { ...sampled, model: "valuation", messages: [{ role: "user", content: "What is it worth?" }] };
        const refused = await resume(token, { request });
        assert.equal(refused.status, 502);
        assert.equal(engines[1].received.length, 0);
        const resumed = await resume(token, { request, received_text: answerText(3) });
        assert.equal(answerText(3) + readStream(resumed.text).text, answerText(8));
        assert.equal(engines[1].received[0]?.precedingText, answerText(3));
    });

    test("an offset before the start of the stream named by the token is refused", async () => {
        const token = await startAndStopFirst();
        const request = { ...original, model: "valuation", messages: [{ role: "user", content: "What is it worth?" }] };
        const moved = readStream((await resume(token, { request })).text).resumeToken ?? "";
        assert.notEqual(moved, "");
        const answer = await postCompletion(second.url, original, { "X-Resume-Token": moved, "Last-Event-ID": "2" });
        assert.equal(answer.status, 400);
    });

    test("resuming a lost stream without the request is refused with instructions", async () => {
        const refused = await resume(await startAndStopFirst());
        assert.equal(refused.status, 502);
        assert.match(refused.text, /send the original request/);
    });

    test("tokens that are forged, malformed, of another partner or of another request are refused", async () => {
        const token = await startAndStopFirst();
        scriptResume();
        const [payload, signature] = token.split(".") as [string, string];
        const ticket = JSON.parse(Buffer.from(payload, "base64url").toString()) as object;
        const altered = Buffer.from(JSON.stringify({ ...ticket, streamId: "str-other-1" })).toString("base64url");
        assert.equal(readCode((await resume(`${altered}.${signature}`)).text), "bad_request");
        assert.equal(readCode((await resume("nonsense")).text), "bad_request");
        assert.equal(readCode((await resume(`${payload}.`)).text), "bad_request");
        assert.equal((await resume(token, undefined, otherPartnerKey)).status, 403);
        const request = { ...original, model: "valuation", messages: [{ role: "user", content: "And this one?" }] };
        assert.equal(readCode((await resume(token, { request })).text), "bad_request");
    });
});

import assert from "node:assert/strict";
import { test } from "node:test";
import OpenAI from "openai";
import { ok } from "true-myth/result";
import { waitUntil } from "../__fixtures__/callerRequests.js";
import { callerKey, createCallerBench } from "../__fixtures__/createCallerBench.js";
import { yieldUntilCancelled } from "../__fixtures__/createScriptedEngine.js";

test("a request counts for its configuration version until its answer has ended", { timeout: 10_000 }, async t => {
    const bench = await createCallerBench();
    t.after(() => bench.server.stop());
    bench.engines[0].script = [(...[, signal]) => ok(yieldUntilCancelled(0, 2, signal))];
    const client = new OpenAI({ apiKey: callerKey, baseURL: `${bench.url}/v1`, maxRetries: 0 });
    const stream = await client.chat.completions.create({
        model: "valuation",
        messages: [{ role: "user", content: "What is a 2014 hatchback worth?" }],
        stream: true,
    });
    assert.deepEqual(bench.versionUsage.list(), [{ generation: 4, requests: 1 }]);
    stream.controller.abort();
    await waitUntil(() => bench.versionUsage.list().length === 0);
});

import { FakeClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createReport } from "../../routing/__fixtures__/createDecisionBench.js";
import { createCacheIndex } from "../cacheIndex.js";
import { createEngineLoad, type SentWork } from "../engineLoad.js";

function createFixture() {
    const clock = new FakeClock();
    const load = createEngineLoad("e1", createCacheIndex().view("e1"), clock);
    const send = (sentAt: number, streamId?: string): SentWork => {
        const work = { engineId: "e1", prefillTokens: 1_000, kvTokens: 1_100, decodes: true, sentAt, streamId };
        load.recordSent(work);
        return work;
    };
    return { clock, load, send };
}

test("work sent after a report's own time is added to the report, and earlier work is not", async () => {
    const { clock, load, send } = createFixture();
    const start = clock.wallNow();
    send(start);
    await clock.advance(400);
    send(start + 400);
    load.applyReport(createReport("e1", { asOf: start + 200, runningStreams: 1, queuedPrefillTokens: 0 }));
    assert.equal(load.streams(), 2);
    // Only the second of the two prompts of 1,000 tokens is queued.
    assert.equal(load.prefillWait(clock.wallNow()), 1_000 / load.prefillPerMillisecond());
});

test("the estimated queue shrinks between reports, and not below zero", async () => {
    const { clock, load } = createFixture();
    load.applyReport(createReport("e1", { asOf: clock.wallNow(), queuedPrefillTokens: 5_000 }));
    const whole = load.prefillWait(clock.wallNow());
    await clock.advance(300);
    assert.equal(Math.round(load.prefillWait(clock.wallNow())), Math.round(whole - 300));
    await clock.advance(1_000);
    assert.equal(load.prefillWait(clock.wallNow()), 0);
});

test("a stream that a report lists is not added again if the engine's clock is behind", async () => {
    const { clock, load, send } = createFixture();
    await clock.advance(1_000);
    const now = clock.wallNow();
    send(now - 20, "str-1");
    send(now - 10, "str-2");
    const report = { asOf: now - 400, runningStreams: 1, recentStreamIds: ["str-1"] };
    load.applyReport(createReport("e1", report));
    assert.equal(load.streams(), 2);
});

test("a stream that ended after a report's time is subtracted once, and not from later reports", async () => {
    const { clock, load } = createFixture();
    const now = clock.wallNow();
    const ended = { engineId: "e1", unstartedPrefillTokens: 0, kvTokens: 500, decodes: true, endedAt: now };
    load.applyReport(createReport("e1", { asOf: now - 100, runningStreams: 3, kvTokensUsed: 2_000 }));
    load.recordFinished(ended);
    assert.equal(load.streams(), 2);
    load.applyReport(createReport("e1", { asOf: now - 50, runningStreams: 3, kvTokensUsed: 2_000 }));
    assert.deepEqual([load.streams(), load.kvTokens()], [2, 1_500]);
    await clock.advance(10);
    load.applyReport(createReport("e1", { asOf: now + 10, runningStreams: 2 }));
    assert.equal(load.streams(), 2);
});

test("a report that arrives after a newer one is ignored", () => {
    const { clock, load } = createFixture();
    load.applyReport(createReport("e1", { asOf: clock.wallNow() - 100, runningStreams: 7 }));
    load.applyReport(createReport("e1", { asOf: clock.wallNow() - 900, runningStreams: 1 }));
    assert.equal(load.streams(), 7);
});

test("the prefill rate is learned between two reports only if the engine was certainly busy throughout", async () => {
    const learn = async (queuedBefore: number, queuedAfter: number) => {
        const { clock, load, send } = createFixture();
        const start = clock.wallNow();
        load.applyReport(createReport("e1", { asOf: start, queuedPrefillTokens: queuedBefore }));
        const before = load.rates.prefillPerMillisecond(0);
        await clock.advance(500);
        send(start + 450);
        load.applyReport(createReport("e1", { asOf: start + 500, queuedPrefillTokens: queuedAfter }));
        return load.rates.prefillPerMillisecond(0) / before;
    };
    // 2,000 of 8,000 tokens were prefilled in 500 ms: 4 tokens per millisecond, while the engine reported 10.
    assert.ok(await learn(8_000, 7_000) < 0.9);
    // As many tokens were prefilled, but the engine may have been idle before the last prompt arrived.
    assert.equal(await learn(1_500, 500), 1);
});

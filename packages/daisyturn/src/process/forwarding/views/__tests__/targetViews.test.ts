import { createSeededRandom, FakeClock, MemoryEventLog } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createTargetHealth, TargetEvidence } from "../../targets/createTargetHealth.js";
import { createCacheEstimates } from "../createCacheEstimates.js";
import { createTargetLoads } from "../createTargetLoads.js";

const targets = ["a", "b", "c", "d"].map(targetId => ({ targetId }));

function createHealth() {
    const clock = new FakeClock();
    const health = createTargetHealth(clock, new MemoryEventLog());
    const trusted = () => health.selectTrusted(targets).map(target => target.targetId).join("");
    return { clock, health, trusted };
}

describe("health of targets", () => {
    it("avoids a target that can't be reached, and retries it with one call", async () => {
        const { clock, health, trusted } = createHealth();
        health.record("a", TargetEvidence.Unreachable);
        assert.equal(trusted(), "bcd");
        await clock.advance(500);
        assert.equal(trusted(), "abcd");
        health.beginWait("a");
        assert.equal(trusted(), "bcd");
        health.record("a", TargetEvidence.Answered);
        assert.equal(trusted(), "abcd");
    });

    it("waits longer after each failure, up to a limit", async () => {
        const { clock, health, trusted } = createHealth();
        for (let failure = 0; failure < 8; failure++) {
            health.record("a", TargetEvidence.Unreachable);
            await clock.advance(3_100);
            health.beginWait("a").end();
        }
        health.record("a", TargetEvidence.Unreachable);
        await clock.advance(2_500);
        assert.equal(trusted(), "bcd");
        await clock.advance(600);
        assert.equal(trusted(), "abcd");
    });

    it("ignores a single broken answer, and avoids a target after two in a row", () => {
        const { health, trusted } = createHealth();
        health.record("a", TargetEvidence.Broken);
        assert.equal(trusted(), "abcd");
        health.record("a", TargetEvidence.Broken);
        assert.equal(trusted(), "bcd");
    });

    it("avoids no target if more than half of a service has failed", () => {
        const { health, trusted } = createHealth();
        ["a", "b", "c"].forEach(targetId => health.record(targetId, TargetEvidence.Unreachable));
        assert.equal(trusted(), "abcd");
    });

    it("avoids a target whose answers fail much more often than those of its group", () => {
        const { health, trusted } = createHealth();
        const random = createSeededRandom(3);
        for (let round = 0; round < 40; round++) {
            for (const { targetId } of targets) {
                const isError = random.fraction() < (targetId === "b" ? 0.6 : 0.14);
                health.record(targetId, isError ? TargetEvidence.AnsweredError : TargetEvidence.Answered);
            }
        }
        assert.equal(trusted(), "acd");
    });

    it("considers a target silent only if calls wait and no bytes at all are received", async () => {
        const { clock, health, trusted } = createHealth();
        health.beginWait("a");
        health.beginWait("b");
        await clock.advance(1_500);
        health.recordBytesReceived("b");
        await clock.advance(1_000);
        assert.equal(health.isSilent("a"), true);
        assert.equal(health.isSilent("b"), false);
        assert.equal(trusted(), "bcd");
    });
});

describe("loads of targets", () => {
    it("add up the process's own work and unexpired reports of peers", async () => {
        const clock = new FakeClock();
        const loads = createTargetLoads(clock);
        const own = loads.begin("a", { work: 30, isDeferred: false, tokens: 100 });
        loads.begin("a", { work: 50, isDeferred: true, tokens: 200 });
        loads.recordPeer("p", [{ targetId: "a", calls: 3, work: 20, deferredWork: 10, tokens: 1_000 }], 100);
        assert.equal(loads.wait("a", false), 50);
        assert.equal(loads.wait("a", true), 110);
        assert.equal(loads.calls("a"), 5);
        assert.equal(loads.tokens("a"), 1_300);
        own.finishExpensiveWork();
        assert.equal(loads.wait("a", false), 20);
        own.end();
        own.end();
        assert.equal(loads.calls("a"), 4);
        await clock.advance(2_000);
        assert.equal(loads.calls("a"), 1);
    });

    it("use the target's report if there is none of a peer, with a weight that decreases with its age", async () => {
        const clock = new FakeClock();
        const loads = createTargetLoads(clock);
        loads.begin("a", { work: 0, isDeferred: false, tokens: 0 });
        loads.recordReport("a", { running: 5, waiting: 4, slots: 8 });
        assert.equal(loads.calls("a"), 9);
        await clock.advance(3_000);
        assert.ok(loads.calls("a") < 2);
    });
});

describe("cache estimates", () => {
    const part = (partId: string, tokens: number) => ({ partId, tokens });

    it("count the cached parts at the start, without the request's own", () => {
        const caches = createCacheEstimates(new FakeClock());
        caches.record("a", [part("x", 1_000), part("y", 500), part("own", 9)], 10_000);
        assert.equal(caches.keptTokens("a", [part("x", 1_000), part("y", 500), part("other", 9)]), 1_500);
        assert.equal(caches.keptTokens("a", [part("z", 1_000), part("y", 500), part("other", 9)]), 0);
        assert.equal(caches.keptTokens("a", [part("x", 1_000)]), 0);
        assert.equal(caches.keptTokens("b", [part("x", 1_000), part("own", 9)]), 0);
    });

    it("evict the least recently used parts beyond the engine's memory, and expire", async () => {
        const clock = new FakeClock();
        const caches = createCacheEstimates(clock);
        for (const partId of ["p", "q", "r"]) {
            caches.record("a", [part(partId, 3_000), part("own", 1)], 10_000);
        }
        const cachedTokens = (partId: string) => caches.keptTokens("a", [part(partId, 3_000), part("own", 1)]);
        assert.deepEqual([cachedTokens("p"), cachedTokens("q"), cachedTokens("r")], [0, 3_000, 3_000]);
        await clock.advance(60_000);
        assert.equal(cachedTokens("r"), 0);
    });

    it("report long parts to peers once", () => {
        const caches = createCacheEstimates(new FakeClock());
        const reported: unknown[] = [];
        caches.onRecorded(cachedPart => reported.push(cachedPart));
        caches.record("a", [part("long", 3_000), part("short", 10), part("own", 1)], 10_000);
        assert.deepEqual(reported, [["a", "long", 3_000]]);
    });
});

import { createSeededRandom, FakeClock, MemoryEventLog } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createWindowedRetryBudget } from "../../limits/createWindowedRetryBudget.js";
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
    it("leaves a target alone that can't be reached, and tries it again with one call", async () => {
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

    it("takes a single broken answer for chance, and two in a row for a failure", () => {
        const { health, trusted } = createHealth();
        health.record("a", TargetEvidence.Broken);
        assert.equal(trusted(), "abcd");
        health.record("a", TargetEvidence.Broken);
        assert.equal(trusted(), "bcd");
    });

    it("never leaves more than half of a service alone", () => {
        const { health, trusted } = createHealth();
        ["a", "b", "c"].forEach(targetId => health.record(targetId, TargetEvidence.Unreachable));
        assert.equal(trusted(), "abcd");
    });

    it("leaves a target alone whose answers fail much more often than those of its group", () => {
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

    it("takes a target for silent only where calls wait and nothing at all is heard", async () => {
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
    it("adds up own work and what fresh peers told", async () => {
        const clock = new FakeClock();
        const loads = createTargetLoads(clock);
        const own = loads.begin("a", { work: 30, isDeferred: false, tokens: 100 });
        loads.begin("a", { work: 50, isDeferred: true, tokens: 200 });
        loads.recordPeer("p", [{ targetId: "a", calls: 3, work: 20, deferredWork: 10, tokens: 1_000 }], 100);
        assert.equal(loads.wait("a", false), 50);
        assert.equal(loads.wait("a", true), 110);
        assert.equal(loads.calls("a"), 5);
        assert.equal(loads.tokens("a"), 1_300);
        own.finishHeavyPart();
        assert.equal(loads.wait("a", false), 20);
        own.end();
        own.end();
        assert.equal(loads.calls("a"), 4);
        await clock.advance(2_000);
        assert.equal(loads.calls("a"), 1);
    });

    it("goes by the target's own report where no peer is heard, less and less as it ages", async () => {
        const clock = new FakeClock();
        const loads = createTargetLoads(clock);
        loads.begin("a", { work: 0, isDeferred: false, tokens: 0 });
        loads.recordReport("a", { running: 5, waiting: 4, slots: 8 });
        assert.equal(loads.calls("a"), 9);
        await clock.advance(3_000);
        assert.ok(loads.calls("a") < 2);
    });
});

describe("beliefs about caches", () => {
    const part = (partId: string, tokens: number) => ({ partId, tokens });

    it("counts the parts at the start that are kept, without the request's own", () => {
        const caches = createCacheEstimates(new FakeClock());
        caches.record("a", [part("x", 1_000), part("y", 500), part("own", 9)], 10_000);
        assert.equal(caches.keptTokens("a", [part("x", 1_000), part("y", 500), part("other", 9)]), 1_500);
        assert.equal(caches.keptTokens("a", [part("z", 1_000), part("y", 500), part("other", 9)]), 0);
        assert.equal(caches.keptTokens("a", [part("x", 1_000)]), 0);
        assert.equal(caches.keptTokens("b", [part("x", 1_000), part("own", 9)]), 0);
    });

    it("drops the parts used least recently beyond the engine's memory, and what is old", async () => {
        const clock = new FakeClock();
        const caches = createCacheEstimates(clock);
        for (const partId of ["p", "q", "r"]) {
            caches.record("a", [part(partId, 3_000), part("own", 1)], 10_000);
        }
        const kept = (partId: string) => caches.keptTokens("a", [part(partId, 3_000), part("own", 1)]);
        assert.deepEqual([kept("p"), kept("q"), kept("r")], [0, 3_000, 3_000]);
        await clock.advance(60_000);
        assert.equal(kept("r"), 0);
    });

    it("tells long parts to the peers once", () => {
        const caches = createCacheEstimates(new FakeClock());
        const told: unknown[] = [];
        caches.onRecorded(placement => told.push(placement));
        caches.record("a", [part("long", 3_000), part("short", 10), part("own", 1)], 10_000);
        assert.deepEqual(told, [["a", "long", 3_000]]);
    });
});

describe("the budget of repeated sends", () => {
    it("stays below its part of the requests in every window, over many seeds", async () => {
        for (let seed = 1; seed <= 20; seed++) {
            const random = createSeededRandom(seed);
            const clock = new FakeClock();
            const allowance = { ratio: 0.2, windowMilliseconds: 10_000 };
            const budget = createWindowedRetryBudget(clock, () => allowance);
            const events: { at: number; isRepeat: boolean; }[] = [];
            for (let step = 0; step < 400; step++) {
                await clock.advance(random.fraction() * (step % 100 < 50 ? 20 : 150));
                budget.recordRequest("s");
                events.push({ at: clock.monotonicNow(), isRepeat: false });
                if (budget.tryAcquire("s")) {
                    events.push({ at: clock.monotonicNow(), isRepeat: true });
                }
            }
            for (const { at } of events) {
                const inWindow = events.filter(event => event.at > at - 10_000 && event.at <= at);
                const before = events.filter(event => event.at > at - 20_000 && event.at <= at - 10_000);
                const repeats = inWindow.filter(event => event.isRepeat).length;
                const requests = Math.max(inWindow.length - repeats, before.filter(event => !event.isRepeat).length);
                // The allowance of the fleet, with this process's part of the slack.
                assert.ok(repeats <= 0.2 * requests + 7, `seed ${seed}: ${repeats} repeats for ${requests}`);
            }
        }
    });

    it("keeps services apart", () => {
        const budget = createWindowedRetryBudget(new FakeClock(), () => ({ ratio: 0.2, windowMilliseconds: 10_000 }));
        while (budget.tryAcquire("s")) {
            // Until the budget of this service is spent.
        }
        assert.equal(budget.tryAcquire("t"), true);
    });
});

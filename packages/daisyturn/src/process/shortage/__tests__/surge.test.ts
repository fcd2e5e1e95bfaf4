import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { capacity, simulateSurge, type SurgeOptions, type SurgeResult } from "../__fixtures__/simulateSurge.js";

const timeout = 400;
/** A refusal leaves this much of the caller's time. */
const maxRefusal = 300;
const seeds = [1, 2];

function createSources(surge: number) {
    return [
        { account: "urgent", priority: 0, calm: 0.2 * capacity, surge: 0.2 * surge * capacity },
        { account: "other", priority: 2, calm: 0.6 * capacity, surge: 0.8 * surge * capacity },
    ];
}

/** Accounts with a fifth of the capacity each, the first of which requests all of it. */
const greedy = ["greedy", "b", "c", "d"].map((account, index) => ({
    account,
    priority: 1,
    calm: 0.2 * capacity,
    surge: (index === 0 ? 1 : 0.2) * capacity,
}));

function fractionOf(results: readonly SurgeResult[]): number {
    const sum = (field: "served" | "calls") => results.reduce((total, result) => total + result[field], 0);
    return sum("served") / sum("calls");
}

/** Runs the same calls with the queue and sent at once, and returns the fraction served of all and of each account. */
async function compare(
    context: TestContext,
    options: Omit<SurgeOptions, "seed" | "hasQueue" | "timeout">,
    seed: number,
) {
    const queued = await simulateSurge({ ...options, seed, timeout, hasQueue: true });
    const sentAtOnce = await simulateSurge({ ...options, seed, timeout, hasQueue: false });
    const all = fractionOf([...queued.values()]);
    const baseline = fractionOf([...sentAtOnce.values()]);
    const byAccount = new Map([...queued].map(([account, result]) => [account, fractionOf([result])]));
    const details = [...byAccount].map(([account, fraction]) => `${account} ${fraction.toFixed(3)}`).join(", ");
    context.diagnostic(
        `seed ${seed}: ${all.toFixed(3)} served, ${baseline.toFixed(3)} first come first served; ${details}`,
    );
    for (const { longestRefusal } of queued.values()) {
        assert.ok(longestRefusal <= maxRefusal, `a refusal took ${longestRefusal} ms`);
    }
    const refusedByTargets = [...queued.values()].reduce((sum, result) => sum + result.refusedByTargets, 0);
    return { all, baseline, byAccount, refusedByTargets };
}

// Guards against targets that work for callers whose time is over by the end of their queue.
for (const surge of [1.5, 2]) {
    test(`8 processes serve near the capacity in a surge of ${surge}, urgent calls first`, async context => {
        for (const seed of seeds) {
            const result = await compare(context, { processes: 8, sources: createSources(surge) }, seed);
            assert.ok(result.all >= 0.75 / surge, `${result.all} were served`);
            assert.ok(result.all >= 2 * result.baseline);
            assert.ok((result.byAccount.get("urgent") ?? 0) >= 0.85);
            assert.equal(result.refusedByTargets, 0);
        }
    });
}

test("40 processes with few calls each keep the targets' queues short", async context => {
    for (const seed of seeds) {
        const result = await compare(context, { processes: 40, sources: createSources(2) }, seed);
        assert.ok(result.all >= 2 * result.baseline);
        assert.ok((result.byAccount.get("urgent") ?? 0) >= 1.2 * (result.byAccount.get("other") ?? 0));
    }
});

test("callers that repeat refused calls at once do not overrun the targets", async context => {
    for (const seed of seeds) {
        const result = await compare(context, { processes: 8, sources: createSources(2), repeatsAtOnce: true }, seed);
        assert.ok(result.all >= 2 * result.baseline);
        assert.equal(result.refusedByTargets, 0);
    }
});

test("an account that requests five times its share reduces only its own service", async context => {
    for (const seed of seeds) {
        const { byAccount } = await compare(context, { processes: 8, sources: greedy }, seed);
        const [greedyFraction = 0, ...others] = byAccount.values();
        others.forEach(fraction => assert.ok(fraction >= 0.8, `${fraction} of another account were served`));
        assert.ok(greedyFraction >= 0.3, `${greedyFraction} of its calls were served`);
    }
});

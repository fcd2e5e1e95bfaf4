import { createSeededRandom, type Random } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createDecisionBench, createReport, createRoutingRequest } from "../__fixtures__/createDecisionBench.js";

/** Creates random engines; returns the cost of a request on each, computed independently, and of the chosen engine. */
async function placeAmongRandom(random: Random, processes: number) {
    const reports = [...Array(6).keys()].map(index =>
        createReport(`e${index}`, {
            queuedPrefillTokens: random.integerBelow(8_000),
            runningStreams: random.integerBelow(20),
            prefillRate: 5_000 + random.integerBelow(10_000),
        })
    );
    const bench = await createDecisionBench({ reports, processes, random });
    const { loadView, router } = bench.processes[0]!;
    const request = createRoutingRequest(bench.clock.wallNow());
    const { profile, promptTokens, expectedOutputTokens } = request;
    const loads = reports.map(report => loadView.find(report.engineId)!);
    const waits = loads.map((load, index) => reports[index]!.queuedPrefillTokens / load.prefillPerMillisecond());
    const pressure = Math.min(3, waits.reduce((sum, wait) => sum + wait, 0) / waits.length / 200);
    const costs = loads.map((load, index) => {
        const prefillTime = promptTokens / load.prefillPerMillisecond();
        const interval = load.rates.betweenTokens(load.streams() + 1);
        const firstToken = waits[index]! + prefillTime + interval;
        const lateTime = Math.max(0, firstToken - profile.firstTokenLimitMilliseconds)
            + expectedOutputTokens * Math.max(0, interval - profile.betweenTokensLimitMilliseconds);
        return firstToken + expectedOutputTokens * interval + 4 * lateTime + pressure * prefillTime;
    });
    const placed = router.place(request);
    bench.stop();
    return { costs, chosen: placed.isOk ? costs[Number(placed.value.engine.slice(1))] : undefined };
}

test("a single process chooses the engine that an exhaustive search finds", async () => {
    const random = createSeededRandom(11);
    for (let round = 0; round < 40; round++) {
        const { costs, chosen } = await placeAmongRandom(random, 1);
        // The request is refused if it would miss its deadline even on the best engine.
        assert.ok(chosen === undefined || chosen - Math.min(...costs) < 1, `${chosen} of ${costs.join()}`);
    }
});

test("one of many processes chooses as well as the cheaper of two at random", async () => {
    const random = createSeededRandom(12);
    let excess = 0;
    let spread = 0;
    for (let round = 0; round < 200; round++) {
        const { costs, chosen } = await placeAmongRandom(random, 9);
        const sorted = [...costs].sort((one, other) => one - other);
        // The cheaper of two uniform draws from n options has rank i with probability (2(n-i)-1)/n^2.
        const expected = sorted.reduce((sum, cost, rank) => sum + cost * (2 * (6 - rank) - 1) / 36, 0);
        excess += (chosen ?? expected) - expected;
        spread += sorted[5]! - sorted[0]!;
    }
    assert.ok(Math.abs(excess) < 0.04 * spread, `${excess} of ${spread}`);
});

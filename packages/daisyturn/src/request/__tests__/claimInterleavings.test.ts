import { createSeededRandom } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createClaimWorld, type WorldRequest } from "../__fixtures__/claimWorld.js";
import { exploreSchedules } from "../__fixtures__/exploreSchedules.js";

/** Set to higher values for a longer search. */
const randomRuns = Number(process.env["DAISYTURN_EXPLORED_RUNS"] ?? 1_000);
const randomBudget = Number(process.env["DAISYTURN_EXPLORED_BUDGET"] ?? 3);

const createRequests = (processIds: readonly string[]): WorldRequest[] =>
    processIds.map(processId => ({ processId, body: "seat 4" }));

const scenarios = [
    { name: "two processes", requests: createRequests(["p", "q"]), exhaustiveBudget: 2 },
    { name: "three processes", requests: createRequests(["p", "q", "r"]), exhaustiveBudget: 1 },
    { name: "one process twice and another", requests: createRequests(["p", "p", "q"]), exhaustiveBudget: 1 },
    {
        name: "two bodies",
        requests: [...createRequests(["p"]), { processId: "q", body: "seat 5" }],
        exhaustiveBudget: 1,
    },
];

describe("interleavings of claims", () => {
    for (const { name, requests, exhaustiveBudget } of scenarios) {
        it(`runs a call at most once: ${name}`, async context => {
            const createWorld = () => createClaimWorld(requests);
            const whole = await exploreSchedules(createWorld, { budget: exhaustiveBudget, maxRuns: Infinity });
            assert.ok(whole.isComplete);
            const random = createSeededRandom(1);
            const part = await exploreSchedules(createWorld, {
                budget: randomBudget,
                maxRuns: randomRuns,
                random,
            });
            context.diagnostic(
                `all ${whole.runs} runs with ${exhaustiveBudget} departures, ${part.runs} with ${randomBudget}`,
            );
        });
    }
});

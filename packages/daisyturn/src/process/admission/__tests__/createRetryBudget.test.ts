import assert from "node:assert/strict";
import { test } from "node:test";
import { createRetryBudget, type RetryBudget } from "../createRetryBudget.js";

const options = { fraction: 0.2, maxSaved: 100 };

function spendAll(budget: RetryBudget): number {
    let count = 0;
    while (budget.tryAcquire()) {
        count += 1;
    }
    return count;
}

// Guards against retries that each process has saved for itself, so that a fleet has as many times more as it has processes.
for (const processes of [1, 9, 68, 195]) {
    test(`the budgets of ${processes} processes have saved no more than the fleet may`, () => {
        const budgets = Array.from({ length: processes }, () => createRetryBudget(options, () => processes));
        for (let request = 0; request < 1_000; request++) {
            budgets.forEach(budget => budget.recordRequest());
        }
        const spent = budgets.reduce((sum, budget) => sum + spendAll(budget), 0);
        assert.ok(spent <= options.maxSaved, `${spent} retries`);
        assert.ok(processes > 68 || spent >= 0.6 * options.maxSaved, `${spent} retries`);
    });
}

test("a budget shrinks to its share when processes join", () => {
    let processes = 1;
    const budget = createRetryBudget(options, () => processes);
    processes = 10;
    assert.equal(spendAll(budget), 10);
});

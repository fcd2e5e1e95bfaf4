import { createSeededRandom, FakeClock, type Random } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { findExcess, type SentCalls } from "../__fixtures__/countRepeats.js";
import {
    createWindowedRetryBudget,
    type RetryAllowance,
    type WindowedRetryBudget,
} from "../createWindowedRetryBudget.js";

const service = "engines";
const allowance: RetryAllowance = { ratio: 0.2, windowMilliseconds: 10_000, slack: 56 };
/** Time after the start of a process from which it has its whole share. */
const freshMilliseconds = 22_000;
const one = { wanted: 1, least: 1, hasStarted: false };
const oneOfStream = { ...one, hasStarted: true };

function createBudget(changes: Partial<RetryAllowance> = {}, countProcesses: () => number | undefined = () => 1) {
    const clock = new FakeClock();
    const allowed = { ...allowance, ...changes };
    const budget = createWindowedRetryBudget({ allowance: () => allowed, countProcesses, clock });
    const sent: SentCalls = { requests: [], repeats: [] };
    return {
        clock,
        budget,
        sent,
        allowed,
        request: (count = 1) => {
            for (let index = 0; index < count; index++) {
                budget.recordRequest(service);
                sent.requests.push(clock.monotonicNow());
            }
        },
        /** Sends repeats as long as the budget allows, up to a number. */
        repeat: (most = Infinity) => sendRepeats(budget, clock, sent, most),
    };
}

function sendRepeats(budget: WindowedRetryBudget, clock: FakeClock, sent: SentCalls, most: number): number {
    let count = 0;
    while (count < most) {
        const spent = budget.tryAcquire(service, oneOfStream)?.spend();
        if (!spent) {
            break;
        }
        spent.recordAnswered();
        sent.repeats.push(clock.monotonicNow());
        count += 1;
    }
    return count;
}

/** Demand that changes every few seconds between none, some and all that the budget gives, under a changing load. */
async function playRandomDemand(random: Random, seconds: number, bench: ReturnType<typeof createBudget>) {
    const phases = [0, 0.02, 1];
    let perStep = 0;
    let demand = 0;
    for (let step = 0; step < seconds * 20; step++) {
        if (step % 40 === 0) {
            perStep = Math.floor(random.fraction() * random.fraction() * 12);
            demand = phases[Math.floor(random.fraction() * phases.length)] ?? 0;
        }
        await bench.clock.advance(50 * (0.5 + random.fraction()));
        bench.request(perStep);
        if (random.fraction() < demand) {
            bench.repeat();
        }
    }
}

// Guards against a window that lets nearly twice the amount through, because repeats fade from its sum too early.
describe("the retry budget of one process", () => {
    it("stays within the allowance in every window, whatever the demand and the load", async () => {
        for (let seed = 1; seed <= 20; seed++) {
            const bench = createBudget();
            await playRandomDemand(createSeededRandom(seed), 60, bench);
            assert.ok(bench.sent.repeats.length > 0);
            assert.ok(findExcess(bench.sent, allowance) <= 0, `seed ${seed}: ${findExcess(bench.sent, allowance)}`);
        }
    });

    it("stays within the allowance when an endless demand follows a calm time, also if the load falls to nothing", async () => {
        for (const fallsAt of [Infinity, 400, 420, 500, 600]) {
            const bench = createBudget({ slack: 0 });
            for (let step = 0; step < 800; step++) {
                bench.request(step < fallsAt ? 6 : 0);
                if (step >= 400) {
                    bench.repeat();
                }
                await bench.clock.advance(100);
            }
            assert.ok(findExcess(bench.sent, bench.allowed) <= 0, `load falls at ${fallsAt}`);
        }
    });

    it("gives nearly the whole ratio in every window under an endless demand", async () => {
        const bench = createBudget({ slack: 0 });
        for (let step = 0; step < 800; step++) {
            bench.request(6);
            bench.repeat();
            await bench.clock.advance(100);
        }
        const inLastWindow = bench.sent.repeats.filter(at => at > bench.clock.monotonicNow() - 10_000).length;
        assert.ok(inLastWindow >= 0.95 * 0.2 * 600, `${inLastWindow} repeats for 600 requests`);
    });

    it("gives half of the ratio at once after a calm time", async () => {
        const bench = createBudget({ slack: 0 });
        for (let step = 0; step < 200; step++) {
            bench.request(6);
            await bench.clock.advance(100);
        }
        const count = bench.repeat();
        assert.ok(count >= 58 && count <= 60, `${count} repeats`);
    });

    it("counts a repeat in every window until its target has answered", async () => {
        const bench = createBudget({ ratio: 0 });
        await bench.clock.advance(freshMilliseconds);
        bench.request();
        const spent = Array.from({ length: 50 }, () => bench.budget.tryAcquire(service, oneOfStream)?.spend());
        assert.equal(bench.repeat(), 0);
        await bench.clock.advance(60_000);
        assert.equal(bench.repeat(), 0);
        spent.forEach(repeat => repeat?.recordAnswered());
        await bench.clock.advance(9_000);
        assert.equal(bench.repeat(), 0);
        await bench.clock.advance(1_500);
        assert.equal(bench.repeat(), 50);
    });

    it("returns what was not sent", async () => {
        const bench = createBudget({ ratio: 0 });
        await bench.clock.advance(freshMilliseconds);
        for (let round = 0; round < 100; round++) {
            const permit = bench.budget.tryAcquire(service, oneOfStream);
            permit?.spend()?.giveBack();
            permit?.release();
        }
        assert.equal(bench.repeat(), 50);
    });

    it("is separate for each service", () => {
        const bench = createBudget();
        assert.ok(bench.repeat() > 0);
        assert.equal(bench.repeat(), 0);
        assert.ok(bench.budget.tryAcquire("other", one));
    });

    it("gives a retry two repeats only while at least half is left, and keeps the last tenth for streams that have begun", async () => {
        const bench = createBudget({ ratio: 0, slack: 20 / 0.9 });
        await bench.clock.advance(freshMilliseconds);
        const acquire = (hasStarted: boolean) =>
            bench.budget.tryAcquire(service, { wanted: 2, least: 1, hasStarted })?.remaining ?? 0;
        const begun = acquire(true);
        const acquired = Array.from({ length: 20 }, () => acquire(false)).filter(count => count > 0);
        assert.deepEqual([begun, ...acquired], [...Array<number>(5).fill(2), ...Array<number>(8).fill(1)]);
        assert.deepEqual([acquire(true), acquire(true), acquire(true)], [1, 1, 0]);
    });

    it("has no share of the slack while the number of processes is unknown, and a part of it in the first window", async () => {
        assert.equal(createBudget({}, () => undefined).budget.status(service).limit, 0);
        const bench = createBudget({}, () => 4);
        const fresh = bench.budget.status(service).limit;
        await bench.clock.advance(freshMilliseconds);
        const share = bench.budget.status(service).limit;
        assert.ok(fresh > 0 && fresh < share && share <= 56 / 4, `${fresh}, then ${share}`);
    });
});

describe("a lease of repeats", () => {
    it("counts as sent at the lender, until a window after its deadline", async () => {
        const lender = createBudget({ ratio: 0 });
        await lender.clock.advance(freshMilliseconds);
        lender.request();
        const deadline = lender.clock.monotonicNow() + 2_000;
        assert.equal(lender.budget.lend(service, 100, deadline), 25);
        assert.equal(lender.repeat(), 25);
        await lender.clock.advance(10_500);
        assert.equal(lender.repeat(), 25);
        await lender.clock.advance(2_000);
        assert.equal(lender.repeat(), 25);
    });

    it("can be spent until its deadline only, and no repeat of it counts at the borrower", async () => {
        const borrower = createBudget({ ratio: 0, slack: 0 });
        borrower.budget.addLease(service, 2, 1_000);
        const first = borrower.budget.tryAcquire(service, one);
        const second = borrower.budget.tryAcquire(service, one);
        assert.equal(borrower.budget.tryAcquire(service, one), undefined);
        assert.ok(first?.spend());
        await borrower.clock.advance(1_000);
        assert.equal(second?.spend(), undefined);
        second?.release();
        assert.equal(borrower.budget.tryAcquire(service, one), undefined);
    });

    it("is not given beyond half of a window, or for a service without requests", async () => {
        const lender = createBudget();
        assert.equal(lender.budget.lend(service, 1, 1_000), 0);
        lender.request(100);
        assert.equal(lender.budget.lend(service, 1, 5_100), 0);
        assert.equal(lender.budget.lend(service, 1, 1_000), 1);
    });
});

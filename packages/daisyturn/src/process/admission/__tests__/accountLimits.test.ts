import { FailureReason } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createLimitsBench } from "../__fixtures__/createLimitsBench.js";
import { burstSeconds } from "../accountLimits.js";

const all = [0, 1, 2, 3];

describe("rate of an account over several processes", () => {
    test("a refusal for the rate limit names a retry time, at which the request is admitted", async () => {
        const bench = createLimitsBench(1, 2);
        const { limits } = bench.processes[0]!;
        bench.ask(0);
        bench.ask(0);
        const refusal = limits.admit(bench.account);
        assert.ok(refusal.isErr);
        assert.equal(refusal.error.reason, FailureReason.RateLimited);
        await bench.clock.advance(refusal.error.retryAt! - bench.clock.wallNow());
        assert.ok(limits.admit(bench.account).isOk);
        bench.stop();
    });

    test("excess load at all processes gets the rate, within the documented bound from the start", async () => {
        const [rate, seconds] = [20, 10];
        const bench = createLimitsBench(all.length, rate);
        const first = await bench.sendLoad(all, 100, 1);
        assert.ok(first <= rate + all.length * rate, `${first} in the first second`);
        const rest = await bench.sendLoad(all, 100, seconds);
        assert.ok(first + rest <= rate * (seconds + 1) + all.length * rate, `${first + rest} in all`);
        // After the initial overshoot has been compensated, no more and not much less than the rate.
        const steady = await bench.sendLoad(all, 100, seconds);
        assert.ok(steady <= rate * seconds * 1.02, `${steady} of ${rate * seconds}`);
        assert.ok(steady >= rate * seconds * 0.9, `${steady} of ${rate * seconds}`);
        bench.stop();
    });

    test("a rate below one request per second is enforced as well", async () => {
        const bench = createLimitsBench(all.length, 0.5);
        await bench.sendLoad(all, 10, 10);
        const steady = await bench.sendLoad(all, 10, 40);
        assert.ok(steady <= 20 * 1.1, `${steady} of 20`);
        assert.ok(steady >= 20 * 0.7, `${steady} of 20`);
        bench.stop();
    });

    test("the whole rate is available to the process with the demand, and moves with the demand", async () => {
        const bench = createLimitsBench(all.length, 20);
        await bench.sendLoad([0], 100, 5);
        assert.ok(await bench.sendLoad([0], 100, 10) >= 190);
        await bench.sendLoad([3], 100, 5);
        assert.ok(await bench.sendLoad([3], 100, 10) >= 190);
        bench.stop();
    });

    test("an account far below its rate is not refused by a process to which it has sent few requests", async () => {
        const bench = createLimitsBench(all.length, 2_000);
        await bench.sendLoad([0, 1, 2], 60, 5);
        assert.deepEqual([1, 2, 3, 4, 5].map(() => bench.ask(3) !== undefined), [true, true, true, true, true]);
        bench.stop();
    });

    test("the fraction of a killed process is available to the others", async () => {
        const bench = createLimitsBench(all.length, 20);
        await bench.sendLoad(all, 50, 5);
        bench.networks.remove("p0");
        bench.dead.add("p0");
        await bench.sendLoad([1, 2, 3], 50, 2);
        const admitted = await bench.sendLoad([1, 2, 3], 50, 10);
        assert.ok(admitted >= 180, `${admitted} of 200`);
        bench.stop();
    });

    test("an isolated process keeps its last fraction until it detects this, then an even fraction", async () => {
        const [rate, seconds] = [20, 10];
        const bench = createLimitsBench(all.length, rate);
        await bench.sendLoad(all, 50, 5);
        bench.networks.isolate("p0");
        const unnoticed = await bench.sendLoad(all, 50, 4);
        // No process receives the others' usage: each is limited to its fraction, which has 10 % slack, and its bucket.
        assert.ok(unnoticed <= rate * 4 * 1.1 + rate * burstSeconds, `${unnoticed} before detection`);
        bench.processes[0]!.membership.majority = false;
        const isolated = await bench.sendLoad([0], 50, seconds);
        assert.ok(isolated <= rate * seconds / all.length * 1.1 + rate / all.length, `${isolated} while isolated`);
        bench.stop();
    });

    test("later messages compensate for lost ones", async () => {
        const bench = createLimitsBench(2, 20);
        bench.networks.cutBoth("p0", "p1");
        await bench.sendLoad([0, 1], 100, 2);
        bench.networks.healAll();
        await bench.sendLoad([0, 1], 100, 3);
        const steady = await bench.sendLoad([0, 1], 100, 10);
        assert.ok(steady <= 200 * 1.02 && steady >= 180, `${steady} of 200`);
        bench.stop();
    });
});

describe("concurrency of an account over several processes", () => {
    test("is enforced once the processes have received each other's reports", async () => {
        const bench = createLimitsBench(3, 1_000, 5);
        const tickets = [bench.ask(0), bench.ask(0), bench.ask(1), bench.ask(1)];
        await bench.clock.advance(500);
        assert.ok(bench.ask(2));
        assert.equal(bench.ask(2), undefined);
        tickets[0]!.release();
        tickets[0]!.release();
        await bench.clock.advance(500);
        assert.ok(bench.ask(1));
        await bench.clock.advance(500);
        assert.equal(bench.ask(2), undefined);
        bench.stop();
    });

    test("exceeds the limit only by what is admitted within one exchange", async () => {
        const bench = createLimitsBench(3, 1_000, 5);
        let open = 0;
        for (let round = 0; round < 40; round++) {
            [0, 1, 2].forEach(index => open += bench.ask(index) ? 1 : 0);
            await bench.clock.advance(50);
        }
        assert.ok(open <= 3 * 5, `${open}`);
        bench.stop();
    });

    test("slots of a killed process are released", async () => {
        const bench = createLimitsBench(2, 1_000, 3);
        [1, 2, 3].forEach(() => assert.ok(bench.ask(0)));
        await bench.clock.advance(500);
        assert.equal(bench.ask(1), undefined);
        bench.networks.remove("p0");
        bench.dead.add("p0");
        assert.ok(bench.ask(1));
        bench.stop();
    });
});

import { FailureReason } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createLimitsBench } from "../__fixtures__/createLimitsBench.js";
import { burstSeconds } from "../accountLimits.js";

const all = [0, 1, 2, 3];

describe("rate of an account over several processes", () => {
    test("an account at its rate is told when it may come again, and may", async () => {
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

    test("a flood at all processes gets the rate, within the stated bound from the first moment on", async () => {
        const [rate, seconds] = [20, 10];
        const bench = createLimitsBench(all.length, rate);
        const first = await bench.flood(all, 100, 1);
        assert.ok(first <= rate + all.length * rate, `${first} in the first second`);
        const rest = await bench.flood(all, 100, seconds);
        assert.ok(first + rest <= rate * (seconds + 1) + all.length * rate, `${first + rest} in all`);
        // Once the debt is paid, no more and not much less than the rate.
        const steady = await bench.flood(all, 100, seconds);
        assert.ok(steady <= rate * seconds * 1.02, `${steady} of ${rate * seconds}`);
        assert.ok(steady >= rate * seconds * 0.9, `${steady} of ${rate * seconds}`);
        bench.stop();
    });

    test("a rate below one a second holds as well", async () => {
        const bench = createLimitsBench(all.length, 0.5);
        await bench.flood(all, 10, 10);
        const steady = await bench.flood(all, 10, 40);
        assert.ok(steady <= 20 * 1.1, `${steady} of 20`);
        assert.ok(steady >= 20 * 0.7, `${steady} of 20`);
        bench.stop();
    });

    test("all of the rate goes where the demand is, and follows it", async () => {
        const bench = createLimitsBench(all.length, 20);
        await bench.flood([0], 100, 5);
        assert.ok(await bench.flood([0], 100, 10) >= 190);
        await bench.flood([3], 100, 5);
        assert.ok(await bench.flood([3], 100, 10) >= 190);
        bench.stop();
    });

    test("an account far below its rate is not refused by a process that it has hardly asked so far", async () => {
        const bench = createLimitsBench(all.length, 2_000);
        await bench.flood([0, 1, 2], 60, 5);
        assert.deepEqual([1, 2, 3, 4, 5].map(() => bench.ask(3) !== undefined), [true, true, true, true, true]);
        bench.stop();
    });

    test("the part of a killed process goes to the others", async () => {
        const bench = createLimitsBench(all.length, 20);
        await bench.flood(all, 50, 5);
        bench.networks.remove("p0");
        bench.dead.add("p0");
        await bench.flood([1, 2, 3], 50, 2);
        const admitted = await bench.flood([1, 2, 3], 50, 10);
        assert.ok(admitted >= 180, `${admitted} of 200`);
        bench.stop();
    });

    test("a process that is cut off keeps to its part, and before it knows so, to what it had", async () => {
        const [rate, seconds] = [20, 10];
        const bench = createLimitsBench(all.length, rate);
        await bench.flood(all, 50, 5);
        bench.networks.isolate("p0");
        const unnoticed = await bench.flood(all, 50, 4);
        // Nobody hears of the others' spending: each keeps to its part, which has a tenth of slack, and to its bucket.
        assert.ok(unnoticed <= rate * 4 * 1.1 + rate * burstSeconds, `${unnoticed} while unnoticed`);
        bench.processes[0]!.membership.majority = false;
        const cutOff = await bench.flood([0], 50, seconds);
        assert.ok(cutOff <= rate * seconds / all.length * 1.1 + rate / all.length, `${cutOff} cut off`);
        bench.stop();
    });

    test("lost messages are made up for by later ones", async () => {
        const bench = createLimitsBench(2, 20);
        bench.networks.cutBoth("p0", "p1");
        await bench.flood([0, 1], 100, 2);
        bench.networks.healAll();
        await bench.flood([0, 1], 100, 3);
        const steady = await bench.flood([0, 1], 100, 10);
        assert.ok(steady <= 200 * 1.02 && steady >= 180, `${steady} of 200`);
        bench.stop();
    });
});

describe("concurrency of an account over several processes", () => {
    test("is kept once the processes have heard of each other", async () => {
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

    test("passes the limit by what is admitted within one exchange and no more", async () => {
        const bench = createLimitsBench(3, 1_000, 5);
        let open = 0;
        for (let round = 0; round < 40; round++) {
            [0, 1, 2].forEach(index => open += bench.ask(index) ? 1 : 0);
            await bench.clock.advance(50);
        }
        assert.ok(open <= 3 * 5, `${open}`);
        bench.stop();
    });

    test("slots of a killed process are free again", async () => {
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

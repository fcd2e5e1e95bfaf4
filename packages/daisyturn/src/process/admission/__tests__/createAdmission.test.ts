import { type Failure, FailureReason } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import type { Result } from "true-myth/result";
import { Priority } from "../../../ports/engine.js";
import { createAccount, createProfile } from "../../../version/__fixtures__/items.js";
import {
    createDecisionBench,
    createReport,
    createRoutingRequest,
} from "../../routing/__fixtures__/createDecisionBench.js";
import type { AdmissionTicket } from "../admission.js";
import type { AdmissionQueueBounds } from "../admissionQueue.js";
import { createAdmission } from "../createAdmission.js";

const account = { ...createAccount("nyamata", "desk", []), requestsPerSecond: 1e6, concurrentRequests: 1e6 };
const other = { ...account, partner: "jizdenka" };

async function createFixture(queuedPrefillTokens: number, bounds?: AdmissionQueueBounds) {
    const bench = await createDecisionBench({ reports: [createReport("e1", { queuedPrefillTokens })] });
    const stopper = new AbortController();
    const admission = createAdmission({ ...bench.processes[0]!, bounds });
    void admission.run(stopper.signal);
    const order: string[] = [];
    let count = 0;

    /** Requests admission; `order` records the name when the request is admitted. */
    const ask = (name: string, limit = 5_000, priority = Priority.Interactive, of = account, promptTokens?: number) => {
        const profile = createProfile(of.partner, "p", { firstTokenLimitMilliseconds: limit, priority });
        count += 1;
        const caller = new AbortController();
        const length = promptTokens === undefined ? {} : { promptTokens };
        const request = createRoutingRequest(bench.clock.wallNow(), { requestId: `r${count}`, profile, ...length });
        const admitting = admission.admitModelRequest(of, request, caller.signal);
        let settled: Result<AdmissionTicket, Failure> | undefined;
        void admitting.then(result => {
            settled = result;
            if (result.isOk) {
                order.push(name);
                const placed = bench.processes[0]!.router.place(request);
                assert.ok(placed.isOk);
            }
        });
        return { caller, failure: () => settled?.isErr ? settled.error : undefined };
    };

    const stop = () => {
        stopper.abort();
        bench.stop();
    };
    return { bench, clock: bench.clock, admission, ask, order, stop };
}

describe("admission", () => {
    test("admits immediately while engines have capacity, and queues requests that would only wait there", async () => {
        const { ask, clock, order, admission, stop } = await createFixture(0);
        ["a", "b", "c", "d", "e", "f"].forEach(name => void ask(name, 2_000));
        await clock.advance(0);
        assert.ok(order.length >= 2 && order.length <= 5, order.join());
        assert.equal(admission.waitingRequests(), 6 - order.length);
        await clock.advance(1_000);
        assert.deepEqual(order, ["a", "b", "c", "d", "e", "f"]);
        stop();
    });

    test("immediately refuses a request that can't meet its deadline, and admits it at its retry time", async () => {
        const { ask, clock, order, stop } = await createFixture(30_000);
        const late = ask("late", 1_600);
        await clock.advance(0);
        const failure = late.failure();
        assert.equal(failure?.reason, FailureReason.DeadlineUnreachable);
        const wait = failure!.retryAt! - clock.wallNow();
        assert.ok(wait >= 1_000 && wait <= 2_500, `${wait}`);
        await clock.advance(wait);
        ask("again", 1_600);
        await clock.advance(1_600);
        assert.deepEqual(order, ["again"]);
        stop();
    });

    /**
     * Guards against refusing a long request as too late although it would be admitted before the short ones that wait.
     * This happens if all waiting requests count as ahead of it, while the queue is ordered by latest start, which is
     * earlier for requests with more work of their own. Prompts starve in the same way if a bound grows with their
     * length. The long request alone is in time, and it is admitted first.
     */
    test("a long request is not refused because of requests that would be queued behind it", async () => {
        const { ask, clock, order, stop } = await createFixture(20_000);
        const shorts = ["a", "b", "c", "d", "e"].map(name => ask(name, 6_000));
        await clock.advance(0);
        assert.ok(shorts.every(short => short.failure() === undefined));
        const long = ask("long", 6_000, Priority.Interactive, account, 8_000);
        await clock.advance(0);
        assert.equal(long.failure(), undefined);
        await clock.advance(3_000);
        assert.equal(order[0], "long");
        stop();
    });

    test("refused requests get different retry times", async () => {
        const { ask, clock, stop } = await createFixture(30_000);
        const requested = [1, 2, 3, 4, 5].map(() => ask("late", 1_600));
        await clock.advance(0);
        const times = requested.map(one => one.failure()!.retryAt!);
        assert.equal(new Set(times).size, 5);
        assert.deepEqual([...times].sort(), times);
        stop();
    });

    test("a request that no idle engine could serve in time is refused without a retry time", async () => {
        const { ask, clock, stop } = await createFixture(0);
        const unreachable = ask("hopeless", 50);
        await clock.advance(0);
        assert.equal(unreachable.failure()?.reason, FailureReason.DeadlineUnreachable);
        assert.equal(unreachable.failure()?.retryAt, undefined);
        stop();
    });

    test("a waiting request is refused as soon as its deadline can no longer be met", async () => {
        const { ask, bench, clock, stop } = await createFixture(10_500);
        const waiting = ask("waiting", 1_500);
        await clock.advance(0);
        assert.equal(waiting.failure(), undefined);
        // The next report shows that another sender has filled the engine.
        const report = { asOf: clock.wallNow() + 400, queuedPrefillTokens: 20_000 };
        bench.engines[0]!.report = { ...bench.engines[0]!.report, ...report };
        await clock.advance(550);
        assert.equal(waiting.failure()?.reason, FailureReason.DeadlineUnreachable);
        stop();
    });

    test("a request whose caller disconnects leaves the queue immediately", async () => {
        const { ask, clock, admission, order, stop } = await createFixture(20_000);
        const disconnected = ask("gone");
        await clock.advance(0);
        assert.equal(admission.waitingRequests(), 1);
        disconnected.caller.abort();
        assert.equal(admission.waitingRequests(), 0);
        await clock.advance(0);
        assert.equal(disconnected.failure()?.reason, FailureReason.Cancelled);
        await clock.advance(3_000);
        assert.deepEqual(order, []);
        stop();
    });

    test("interactive requests are admitted before bulk requests of the same partner", async () => {
        const { ask, clock, order, stop } = await createFixture(30_000);
        ask("bulk", 20_000, Priority.Bulk);
        ask("interactive", 20_000);
        await clock.advance(5_000);
        assert.deepEqual(order, ["interactive", "bulk"]);
        stop();
    });

    test("queue bounds apply per partner: excess load of one partner does not displace another", async () => {
        const { ask, clock, admission, stop } = await createFixture(40_000, { requests: 3, bytes: 1e9 });
        const excessLoad = [1, 2, 3, 4, 5].map(() => ask("flood", 20_000));
        const calm = ask("calm", 20_000, Priority.Interactive, other);
        await clock.advance(0);
        assert.deepEqual(excessLoad.map(one => one.failure()?.reason), [
            undefined,
            undefined,
            undefined,
            FailureReason.Overloaded,
            FailureReason.Overloaded,
        ]);
        assert.equal(calm.failure(), undefined);
        assert.equal(admission.waitingRequests(), 4);
        stop();
    });

    test("a prompt that exceeds the bound in bytes is refused", async () => {
        const { ask, clock, stop } = await createFixture(40_000, { requests: 100, bytes: 9_000 });
        const requested = [1, 2, 3].map(() => ask("large", 20_000));
        await clock.advance(0);
        assert.deepEqual(requested.map(one => one.failure()?.reason), [undefined, undefined, FailureReason.Overloaded]);
        stop();
    });

    test("the partner with less usage is admitted first", async () => {
        const { ask, clock, order, stop } = await createFixture(0);
        [1, 2, 3, 4, 5, 6, 7, 8].forEach(() => void ask("flood", 20_000));
        await clock.advance(0);
        const before = order.length;
        ask("calm", 20_000, Priority.Interactive, other);
        await clock.advance(0);
        assert.equal(order[before], "calm");
        stop();
    });

    test("waiting requests are refused as not run when the process stops", async () => {
        const { ask, clock, stop } = await createFixture(20_000);
        const waiting = ask("waiting");
        await clock.advance(0);
        stop();
        await clock.advance(0);
        assert.equal(waiting.failure()?.reason, FailureReason.OutOfService);
    });
});

import { ExecutionVerdict, FailureReason } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { OrderAnswer, OrderKind } from "../../engine.js";
import { failureOf, startEngineCase } from "../__fixtures__/engineCase.js";
import { type RawScript, writeAnswer } from "../__fixtures__/startRawTarget.js";

const order = { orderId: "ord-1", kind: OrderKind.Drain, fencingNumber: 7 };
const notRunRefusal = { verdict: ExecutionVerdict.NotRun, reason: FailureReason.TargetRefused, message: "down" };

describe("order", () => {
    const cases: { name: string; script: RawScript; expected: string; }[] = [
        {
            name: "an answer to another order",
            script: ({ socket }) => writeAnswer(socket, 200, JSON.stringify({ orderId: "ord-0", answer: "accepted" })),
            expected: "target_failed/may_have_run",
        },
        {
            name: "an answer that can't be read",
            script: ({ socket }) => writeAnswer(socket, 200, JSON.stringify({ orderId: "ord-1", answer: "perhaps" })),
            expected: "target_failed/may_have_run",
        },
        {
            name: "a lost answer",
            script: ({ socket }) => socket.resetAndDestroy(),
            expected: "target_failed/may_have_run",
        },
        {
            name: "an answer that is too large",
            script: ({ socket }) => writeAnswer(socket, 200, " ".repeat(1_100_000)),
            expected: "body_too_large/may_have_run",
        },
        {
            name: "a refusal",
            script: ({ socket }) => writeAnswer(socket, 503, JSON.stringify(notRunRefusal)),
            expected: "target_refused/not_run",
        },
    ];
    for (const { name, script, expected } of cases) {
        it(`is ${expected} after ${name}`, async test => {
            const { engine } = await startEngineCase(test, script);
            assert.equal(failureOf(await engine.order(order, 1_000)), expected);
        });
    }

    it("sends the fencing number and returns the engine's answer", async test => {
        const { engine, target } = await startEngineCase(test, ({ socket }) => {
            writeAnswer(socket, 200, JSON.stringify({ orderId: "ord-1", answer: "stale_fencing_number" }));
        });
        const answer = await engine.order(order, 1_000);
        assert.equal(answer.unwrapOr(OrderAnswer.Accepted), OrderAnswer.StaleFencingNumber);
        assert.deepEqual(JSON.parse(target.requests[0]?.body ?? ""), order);
    });

    it("is MayHaveRun when the deadline passes without an answer", async test => {
        const { clock, engine, target } = await startEngineCase(test, () => undefined);
        const pending = engine.order(order, 1_000);
        await target.received("POST /order");
        await clock.advance(1_000);
        assert.equal(failureOf(await pending), "deadline_passed/may_have_run");
    });
});

describe("readState and readLoad", () => {
    it("reject an answer of another engine", async test => {
        const state = {
            engineId: "engine-2",
            incarnation: "run-1",
            role: "mixed",
            phase: "serving",
            draining: false,
            models: [],
            adapters: [],
            version: "1",
            runningStreams: 0,
            queuedRequests: 0,
        };
        const { engine } = await startEngineCase(test, ({ socket }) => writeAnswer(socket, 200, JSON.stringify(state)));
        assert.equal(failureOf(await engine.readState(1_000)), "target_failed/may_have_run");
    });
});

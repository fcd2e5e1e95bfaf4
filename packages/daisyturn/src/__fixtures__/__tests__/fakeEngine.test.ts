import { ExecutionVerdict, FakeClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
    type EngineOrder,
    EnginePhase,
    EngineRole,
    GeneratePart,
    type GenerateRequest,
    OrderAnswer,
    OrderKind,
    Priority,
    type StreamEvent,
    StreamEventKind,
} from "../../ports/engine.js";
import { CallFaultKind, createFakeEngine, type FakeEngine } from "../fakeEngine.js";
import { StreamFaultKind } from "../fakeStream.js";

const request: GenerateRequest = {
    streamId: "st-1",
    part: GeneratePart.Whole,
    model: "large",
    prompt: "seats tokens:4",
    promptBlocks: [],
    maxOutputTokens: 10,
    priority: Priority.Interactive,
    deadline: Number.MAX_SAFE_INTEGER,
};
const changeRole: EngineOrder = {
    orderId: "ord-1",
    kind: OrderKind.ChangeRole,
    role: EngineRole.Prefill,
    fencingNumber: 1,
};

async function collect(engine: FakeEngine, signal: AbortSignal): Promise<StreamEvent[]> {
    const stream = (await engine.generate(request, signal)).unwrapOr([] as never);
    const events: StreamEvent[] = [];
    for await (const event of stream) {
        events.push(event);
    }
    return events;
}

function offsetsOf(events: readonly StreamEvent[]): (number | StreamEventKind)[] {
    return events.map(event => event.kind === StreamEventKind.Tokens ? event.offset : event.kind);
}

describe("createFakeEngine", () => {
    const { End, Broken } = StreamEventKind;
    const cases = [
        { kind: undefined, expected: [0, 1, 2, 3, End] },
        { kind: StreamFaultKind.Break, expected: [0, 1, Broken] },
        { kind: StreamFaultKind.EndShort, expected: [0, 1] },
        { kind: StreamFaultKind.Duplicate, expected: [0, 1, 2, 2, 3, End] },
        { kind: StreamFaultKind.Skip, expected: [0, 1, 3, End] },
        { kind: StreamFaultKind.Swap, expected: [0, 1, 3, 2, End] },
    ];
    for (const { kind, expected } of cases) {
        it(`streams with the fault ${kind ?? "none"}`, async test => {
            const engine = createFakeEngine({ clock: new FakeClock() });
            engine.streamFaults.push(kind && { kind, afterTokens: 2 });
            assert.deepEqual(offsetsOf(await collect(engine, test.signal)), expected);
        });
    }

    it("accepts the request when only the answer is lost, and not when it refuses", async test => {
        const engine = createFakeEngine({ clock: new FakeClock() });
        engine.generateFaults.push(CallFaultKind.Refuse, CallFaultKind.LoseAnswer);
        const refused = await engine.generate(request, test.signal);
        assert.equal(refused.isErr && refused.error.verdict, ExecutionVerdict.NotRun);
        assert.equal(engine.taken.length, 0);
        const lost = await engine.generate(request, test.signal);
        assert.equal(lost.isErr && lost.error.verdict, ExecutionVerdict.MayHaveRun);
        assert.equal(engine.taken.length, 1);
    });

    it("accepts one change at a time and is stuck after a crash during a change", async () => {
        const clock = new FakeClock();
        const engine = createFakeEngine({ clock, changeMilliseconds: 1_000, checksFencingNumbers: true });
        assert.equal((await engine.order(changeRole, 10)).unwrapOr(OrderAnswer.Busy), OrderAnswer.Accepted);
        const second = { ...changeRole, orderId: "ord-2", role: EngineRole.Decode };
        assert.equal((await engine.order(second, 10)).unwrapOr(OrderAnswer.Accepted), OrderAnswer.Busy);
        engine.crash();
        engine.restart();
        await clock.advance(1_000);
        assert.equal(engine.orderHandler.phase, EnginePhase.Stuck);
        const stale = { ...second, fencingNumber: 0 };
        assert.equal((await engine.order(stale, 10)).unwrapOr(OrderAnswer.Busy), OrderAnswer.StaleFencingNumber);
        assert.equal((await engine.order(second, 10)).unwrapOr(OrderAnswer.Busy), OrderAnswer.Accepted);
        await clock.advance(1_000);
        assert.equal(engine.orderHandler.role, EngineRole.Decode);
    });
});

import { EngineRole, GeneratePart, OrderAnswer, OrderKind, type StreamEnd, StreamEventKind } from "daisyturn";
import { ExecutionVerdict } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { request as sendRequest } from "undici";
import { buildRequest, collectEvents, joinText, startEngineRig } from "../__fixtures__/engineRig.js";
import { expectedAnswer } from "../expectedAnswer.js";

describe("createEngineServer", () => {
    it("answers with the expected text and an end mark", async test => {
        const { engine } = await startEngineRig(test);
        const request = buildRequest();
        const events = await collectEvents((await engine.generate(request, test.signal)).unwrapOr([] as never));
        const end = events.at(-1) as StreamEnd;
        assert.equal(joinText(events), expectedAnswer(request, 100));
        assert.equal(end.kind, StreamEventKind.End);
        assert.equal(end.outputTokens, 40);
    });

    it("continues after the start offset and after a resumed offset", async test => {
        const { engine } = await startEngineRig(test);
        const request = buildRequest({ startOffset: 10 });
        const whole = expectedAnswer(request, 100);
        const head = expectedAnswer(request, 10);
        const moved = await collectEvents((await engine.generate(request, test.signal)).unwrapOr([] as never));
        assert.equal(head + joinText(moved), whole);
        const resumed = await collectEvents((await engine.resume("st-1", 10, test.signal)).unwrapOr([] as never));
        assert.equal(head + joinText(resumed), whole);
    });

    it("refuses as not run a request for a model that is not loaded", async test => {
        const { engine } = await startEngineRig(test);
        const refused = await engine.generate(buildRequest({ model: "other" }), test.signal);
        assert.equal(refused.isErr && refused.error.verdict, ExecutionVerdict.NotRun);
    });

    it("cancels the work when the signal is aborted", async test => {
        const { engine } = await startEngineRig(test, { speed: 1 });
        const caller = new AbortController();
        const stream = (await engine.generate(buildRequest(), caller.signal)).unwrapOr([] as never);
        for await (const event of stream) {
            if (event.kind === StreamEventKind.Tokens) {
                caller.abort();
            }
            else {
                assert.equal(event.kind, StreamEventKind.Broken);
            }
        }
        const deadline = performance.now() + 5_000;
        while ((await engine.readState(deadline)).map(state => state.runningStreams).unwrapOr(1) > 0) {
            assert.ok(performance.now() < deadline);
        }
    });

    it("writes waiting lines while there is nothing else to write", async test => {
        const { server } = await startEngineRig(test, { speed: 0.000_1, waitingRealMilliseconds: 1 });
        const body = JSON.stringify(buildRequest());
        const answer = await sendRequest(`${server.url}/generate`, { method: "POST", body });
        for await (const chunk of answer.body as AsyncIterable<Buffer>) {
            assert.deepEqual(JSON.parse(chunk.toString().split("\n")[0] ?? ""), { kind: "waiting", streamId: "st-1" });
            break;
        }
    });

    it("transfers a KV cache between two engines over HTTP", async test => {
        const prefill = await startEngineRig(test, { id: "engine-p", role: EngineRole.Prefill });
        const decode = await startEngineRig(test, { id: "engine-d", role: EngineRole.Decode });
        const request = buildRequest({ part: GeneratePart.Prefill });
        const [end] = await collectEvents((await prefill.engine.generate(request, test.signal)).unwrapOr([] as never));
        const { kvHandle } = end as StreamEnd;
        const second = buildRequest({ part: GeneratePart.Decode, streamId: "st-2", kvHandle });
        const events = await collectEvents((await decode.engine.generate(second, test.signal)).unwrapOr([] as never));
        assert.equal(joinText(events), expectedAnswer(request, 100));
    });

    it("cuts streams on a restart and starts a new incarnation at the same address", async test => {
        const { engine, server } = await startEngineRig(test, { speed: 1 });
        const stream = (await engine.generate(buildRequest(), test.signal)).unwrapOr([] as never);
        const before = server.incarnation();
        const events = collectEvents(stream);
        await sendRequest(`${server.url}/control/restart`, { method: "POST" });
        assert.equal((await events).at(-1)?.kind, StreamEventKind.Broken);
        const deadline = performance.now() + 5_000;
        for (let state; state?.incarnation !== server.incarnation() || state.incarnation === before;) {
            assert.ok(performance.now() < deadline);
            state = (await engine.readState(deadline)).unwrapOr(undefined);
        }
        const lost = await engine.resume("st-1", 0, test.signal);
        assert.equal(lost.isErr && lost.error.verdict, ExecutionVerdict.MayHaveRun);
    });

    it("continues a stream after its connection is cut, and can drop the answer to an applied order", async test => {
        const { engine, server } = await startEngineRig(test);
        server.setFaults({ cutStreamsAfterTokens: [0], loseNextOrderAnswer: true });
        const cut = await collectEvents((await engine.generate(buildRequest(), test.signal)).unwrapOr([] as never));
        assert.equal(cut.at(-1)?.kind, StreamEventKind.Broken);
        const rest = await collectEvents((await engine.resume("st-1", 0, test.signal)).unwrapOr([] as never));
        assert.equal(joinText(rest), expectedAnswer(buildRequest(), 100));
        const order = { orderId: "ord-1", kind: OrderKind.Drain, fencingNumber: 1 };
        const lost = await engine.order(order, performance.now() + 5_000);
        assert.equal(lost.isErr && lost.error.verdict, ExecutionVerdict.MayHaveRun);
        assert.deepEqual(server.orders.map(record => record.answer), [OrderAnswer.Accepted]);
    });
});

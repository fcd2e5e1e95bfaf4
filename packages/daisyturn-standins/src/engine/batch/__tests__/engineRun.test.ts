import {
    type EngineOrder,
    EnginePhase,
    EngineRole,
    FinishReason,
    GeneratePart,
    type LoadReport,
    OrderAnswer,
    OrderKind,
    type StreamEnd,
    type StreamEvent,
    StreamEventKind,
} from "daisyturn";
import type { Failure } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it, type TestContext } from "node:test";
import type { Result } from "true-myth/result";
import { joinText } from "../../__fixtures__/engineRig.js";
import {
    buildLocalRequest,
    buildPrompt,
    collectInto,
    createLocalRig,
    startStream,
} from "../../__fixtures__/localRig.js";
import type { LocalEngine } from "../../createLocalEngine.js";
import { expectedAnswer } from "../../expectedAnswer.js";

function describeFailure(result: Result<unknown, Failure>): string {
    return result.isErr ? `${result.error.reason}/${result.error.verdict}` : "ok";
}

function lastKind(events: readonly StreamEvent[]): StreamEventKind | undefined {
    return events.at(-1)?.kind;
}

async function readLoad(engine: LocalEngine): Promise<LoadReport> {
    return (await engine.readLoad(0)).unwrapOr({} as LoadReport);
}

function buildOrder(changes: Partial<EngineOrder> = {}): EngineOrder {
    return { orderId: "ord-1", kind: OrderKind.ChangeRole, role: EngineRole.Decode, fencingNumber: 1, ...changes };
}

async function sendOrder(engine: LocalEngine, changes: Partial<EngineOrder> = {}): Promise<OrderAnswer> {
    return (await engine.order(buildOrder(changes), 0)).unwrapOr(OrderAnswer.Busy);
}

describe("streams of an engine", () => {
    it("can be resumed while they run and for the retention period after their end", async test => {
        const { clock, addEngine } = createLocalRig(test);
        const engine = addEngine({ endedStreamMilliseconds: 10_000 });
        const request = buildLocalRequest(clock);
        await startStream(engine, request, test.signal);
        await clock.advance(100);
        const resumed: StreamEvent[] = [];
        void collectInto((await engine.resume("st-1", 2, test.signal)).unwrapOr([] as never), resumed);
        await clock.advance(5_000);
        const whole = expectedAnswer(request, 100);
        assert.equal(expectedAnswer(request, 2) + joinText(resumed), whole);
        assert.equal(describeFailure(await engine.resume("st-1", 0, test.signal)), "ok");
        await clock.advance(10_000);
        assert.equal(describeFailure(await engine.resume("st-1", 0, test.signal)), "not_found/may_have_run");
    });

    it("are refused if their id was used, or was cancelled before the request arrived", async test => {
        const { clock, addEngine } = createLocalRig(test);
        const engine = addEngine();
        await engine.generate(buildLocalRequest(clock), test.signal);
        assert.equal(
            describeFailure(await engine.generate(buildLocalRequest(clock), test.signal)),
            "already_running/may_have_run",
        );
        await engine.cancel("st-2", 0);
        const overtaken = await engine.generate(buildLocalRequest(clock, { streamId: "st-2" }), test.signal);
        assert.equal(describeFailure(overtaken), "cancelled/not_run");
    });

    it("are refused as not run when the queue is full", async test => {
        const { clock, addEngine } = createLocalRig(test);
        const engine = addEngine({ maxRunningStreams: 1, maxQueuedRequests: 1 });
        const outcomes: string[] = [];
        for (const streamId of ["st-1", "st-2", "st-3"]) {
            outcomes.push(describeFailure(await engine.generate(buildLocalRequest(clock, { streamId }), test.signal)));
            await clock.advance(10);
        }
        assert.deepEqual(outcomes, ["ok", "ok", "overloaded/not_run"]);
    });

    it("free their memory when cancelled or past their deadline", async test => {
        const { clock, addEngine } = createLocalRig(test);
        const engine = addEngine({ loadLagMilliseconds: 0 });
        const prompt = buildPrompt("guide", 64, 100_000);
        const request = buildLocalRequest(clock, { prompt, maxOutputTokens: 50_000 });
        const cancelled = await startStream(engine, request, test.signal);
        const lateRequest = { ...request, streamId: "st-2", deadline: clock.wallNow() + 1_000 };
        const late = await startStream(engine, lateRequest, test.signal);
        await clock.advance(500);
        assert.equal((await readLoad(engine)).kvTokensUsed, 2 * (64 + 50_000));
        await engine.cancel("st-1", 0);
        await clock.advance(1_000);
        assert.equal((await readLoad(engine)).kvTokensUsed, 0);
        assert.deepEqual([lastKind(cancelled), lastKind(late)], [StreamEventKind.Broken, StreamEventKind.Broken]);
    });

    it("are refused if the text before the start offset does not match", async test => {
        const { clock, addEngine } = createLocalRig(test);
        const engine = addEngine();
        const request = buildLocalRequest(clock, { startOffset: 3 });
        const wrong = { ...request, precedingText: "something else" };
        assert.equal(describeFailure(await engine.generate(wrong, test.signal)), "bad_request/not_run");
        const right = { ...request, precedingText: expectedAnswer(request, 3) };
        assert.equal(describeFailure(await engine.generate(right, test.signal)), "ok");
    });

    it("end before a stop text", async test => {
        const { clock, addEngine } = createLocalRig(test);
        const request = buildLocalRequest(clock);
        const whole = expectedAnswer(request, 100);
        const stop = whole.slice(30, 36);
        const events = await startStream(addEngine(), { ...request, sampling: { stop: [stop] } }, test.signal);
        await clock.advance(5_000);
        assert.equal(joinText(events), whole.slice(0, whole.indexOf(stop)));
        assert.equal((events.at(-1) as StreamEnd).finishReason, FinishReason.Stop);
    });
});

describe("prefill and decode on different engines", () => {
    async function prefill(test: TestContext, decodeOptions = {}) {
        const { clock, addEngine } = createLocalRig(test);
        const prefillEngine = addEngine({ id: "engine-p", role: EngineRole.Prefill, loadLagMilliseconds: 0 });
        const decodeEngine = addEngine({ id: "engine-d", role: EngineRole.Decode, ...decodeOptions });
        const request = buildLocalRequest(clock, { part: GeneratePart.Prefill });
        const events = await startStream(prefillEngine, request, test.signal);
        await clock.advance(1_000);
        const { kvHandle } = events.at(-1) as StreamEnd;
        const decode = { ...request, part: GeneratePart.Decode, streamId: "st-2", kvHandle };
        return { clock, prefillEngine, decodeEngine, events, decode };
    }

    it("return the complete answer after the transfer, without a second prefill", async test => {
        const times = { transferBaseMilliseconds: 100, transferTokensPerMillisecond: 1 };
        const { clock, prefillEngine, decodeEngine, events, decode } = await prefill(test, times);
        assert.deepEqual(events.map(event => event.kind), [StreamEventKind.End]);
        assert.equal((await readLoad(prefillEngine)).kvTokensUsed, 512);
        const decoded = await startStream(decodeEngine, decode, test.signal);
        const transfer = 100 + 512;
        await clock.advance(transfer);
        assert.equal(decoded.length, 0);
        await clock.advance(20);
        assert.equal(lastKind(decoded), StreamEventKind.Tokens);
        await clock.advance(2_000);
        assert.equal(joinText(decoded), expectedAnswer(decode, 100));
        assert.equal((await readLoad(prefillEngine)).kvTokensUsed, 0);
    });

    it("refuse as not run a cache that was removed or belongs to another prompt", async test => {
        const { clock, decodeEngine, decode } = await prefill(test);
        const other = { ...decode, prompt: `${decode.prompt}.` };
        assert.equal(describeFailure(await decodeEngine.generate(other, test.signal)), "target_refused/not_run");
        await clock.advance(30_000);
        assert.equal(describeFailure(await decodeEngine.generate(decode, test.signal)), "target_refused/not_run");
    });

    it("accept only the part that their role serves", async test => {
        const { prefillEngine, decodeEngine, decode } = await prefill(test);
        const whole = { ...decode, part: GeneratePart.Whole };
        assert.equal(describeFailure(await prefillEngine.generate(whole, test.signal)), "target_refused/not_run");
        assert.equal(describeFailure(await decodeEngine.generate(whole, test.signal)), "target_refused/not_run");
    });
});

describe("reports of an engine", () => {
    it("lag by the configured time and list the stream ids", async test => {
        const { clock, addEngine } = createLocalRig(test);
        const engine = addEngine({ loadLagMilliseconds: 500, loadSampleMilliseconds: 100 });
        await clock.advance(1_000);
        const prompt = buildPrompt("guide", 64, 10_000);
        await startStream(engine, buildLocalRequest(clock, { prompt, maxOutputTokens: 10_000 }), test.signal);
        const takenAt = clock.wallNow();
        await clock.advance(450);
        assert.equal((await readLoad(engine)).runningStreams, 0);
        await clock.advance(200);
        const report = await readLoad(engine);
        assert.deepEqual(report.recentStreamIds, ["st-1"]);
        assert.equal(report.runningStreams, 1);
        assert.ok(report.asOf >= takenAt && report.asOf <= clock.wallNow() - 500);
    });

    it("publish cache events with a delay and with gaps in the sequence, but otherwise completely", async test => {
        const { clock, addEngine } = createLocalRig(test);
        const engine = addEngine({ cacheEventDelayMilliseconds: 300, cacheEventLoss: 0.3, prefixCacheBlocks: 16 });
        const readEvents = async (cursor: number) =>
            (await engine.readCacheEvents(cursor, 0)).unwrapOr({ incarnation: "", events: [], cursor: -1 });
        for (let index = 0; index < 30; index++) {
            const prompt = buildPrompt(`guide ${index} `, 512, 1);
            await startStream(engine, buildLocalRequest(clock, { streamId: `st-${index}`, prompt }), test.signal);
            await clock.advance(50);
        }
        const early = await readEvents(0);
        await clock.advance(300);
        const page = await readEvents(0);
        assert.ok(early.events.length < page.events.length);
        const sequences = page.events.map(event => event.sequence);
        assert.deepEqual(sequences, [...new Set(sequences)].sort((left, right) => left - right));
        assert.ok(sequences.length < 30 && sequences.length > 10);
        assert.equal(page.cursor, sequences.at(-1));
        assert.ok(page.events.some(event => event.stored.length === 8 && event.evicted.length === 8));
        assert.deepEqual((await readEvents(page.cursor)).events, []);
    });
});

describe("orders to an engine", () => {
    it("change the role after a delay, during which the engine accepts no work and its streams are cut", async test => {
        const { clock, addEngine } = createLocalRig(test);
        const engine = addEngine({ roleChangeMilliseconds: 5_000 });
        const running = await startStream(engine, buildLocalRequest(clock), test.signal);
        assert.equal(await sendOrder(engine), OrderAnswer.Accepted);
        await clock.advance(4_999);
        assert.equal(lastKind(running), StreamEventKind.Broken);
        const state = (await engine.readState(0)).unwrapOr(undefined);
        assert.deepEqual([state?.phase, state?.role, state?.lastOrderId], [EnginePhase.Changing, "mixed", "ord-1"]);
        const refused = await engine.generate(buildLocalRequest(clock, { streamId: "st-2" }), test.signal);
        assert.equal(describeFailure(refused), "target_refused/not_run");
        assert.equal(await sendOrder(engine, { orderId: "ord-2" }), OrderAnswer.Busy);
        assert.equal(await sendOrder(engine), OrderAnswer.Repeated);
        await clock.advance(1);
        const after = (await engine.readState(0)).unwrapOr(undefined);
        assert.deepEqual([after?.phase, after?.role], [EnginePhase.Serving, EngineRole.Decode]);
    });

    it("are refused with an old fencing number only if the engine checks fencing numbers", async test => {
        const { addEngine } = createLocalRig(test);
        for (const checksFencing of [true, false]) {
            const engine = addEngine({ id: `engine-${checksFencing}`, checksFencing });
            await sendOrder(engine, { kind: OrderKind.Drain, fencingNumber: 5 });
            const stale = await sendOrder(engine, { orderId: "ord-2", kind: OrderKind.Resume, fencingNumber: 4 });
            assert.equal(stale, checksFencing ? OrderAnswer.StaleFencingNumber : OrderAnswer.Accepted);
            const state = (await engine.readState(0)).unwrapOr(undefined);
            assert.deepEqual([state?.draining, state?.highestFencingNumber], [
                checksFencing,
                checksFencing ? 5 : undefined,
            ]);
            engine.restart();
            assert.equal(
                (await engine.readState(0)).unwrapOr(undefined)?.highestFencingNumber,
                checksFencing ? 5 : undefined,
            );
        }
    });

    it("drain without cutting streams", async test => {
        const { clock, addEngine } = createLocalRig(test);
        const engine = addEngine();
        const running = await startStream(engine, buildLocalRequest(clock), test.signal);
        await sendOrder(engine, { kind: OrderKind.Drain });
        const refused = await engine.generate(buildLocalRequest(clock, { streamId: "st-2" }), test.signal);
        assert.equal(describeFailure(refused), "target_refused/not_run");
        await clock.advance(5_000);
        assert.equal(lastKind(running), StreamEventKind.End);
    });

    it("load an artifact only with a grant of the weight store", async test => {
        const { clock, addEngine } = createLocalRig(test);
        const engine = addEngine({ loadMilliseconds: 1_000 });
        const load = { kind: OrderKind.LoadAdapter, artifact: "moravia" };
        assert.equal(await sendOrder(engine, load), OrderAnswer.Busy);
        assert.equal(await sendOrder(engine, { ...load, weightGrantId: "grant-1" }), OrderAnswer.Accepted);
        await clock.advance(1_000);
        const request = buildLocalRequest(clock, { adapter: "moravia" });
        assert.equal(describeFailure(await engine.generate(request, test.signal)), "ok");
    });

    it("leave the engine stuck until the next order if the change stops or crashes halfway", async test => {
        const { clock, addEngine } = createLocalRig(test);
        const engine = addEngine({ roleChangeMilliseconds: 1_000 });
        const incarnations = new Set<string>();
        for (const fault of ["stopNextChange", "crashNextChange"] as const) {
            engine.faults[fault] = true;
            await sendOrder(engine, { orderId: `ord-${fault}` });
            await clock.advance(1_000);
            const state = (await engine.readState(0)).unwrapOr(undefined);
            assert.equal(state?.phase, EnginePhase.Stuck);
            assert.equal(state?.lastOrderId, fault === "crashNextChange" ? undefined : "ord-stopNextChange");
            incarnations.add(state?.incarnation ?? "");
            assert.equal(await sendOrder(engine, { orderId: `again-${fault}` }), OrderAnswer.Accepted);
            await clock.advance(1_000);
            const settled = (await engine.readState(0)).unwrapOr(undefined);
            assert.deepEqual([settled?.phase, settled?.role], [EnginePhase.Serving, EngineRole.Decode]);
        }
        assert.equal(incarnations.size, 2);
    });
});

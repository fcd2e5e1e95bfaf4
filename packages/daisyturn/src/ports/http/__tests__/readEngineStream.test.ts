import { FakeClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { GeneratePart, StreamEventKind } from "../../engine.js";
import {
    buildRequest,
    collect,
    createTestDispatcher,
    endLine,
    failureOf,
    generateAll,
    outcomeOf,
    startEngineCase,
    streamLines,
    tokenLine,
} from "../__fixtures__/engineCase.js";
import {
    findClosedUrl,
    type RawScript,
    writeAnswer,
    writeChunk,
    writeChunkedEnd,
    writeChunkedHead,
} from "../__fixtures__/startRawTarget.js";
import { createHttpEngine } from "../createHttpEngine.js";

const broken = "stream_broken/may_have_run";
const kvHandle = { engineId: "engine-1", address: "http://127.0.0.1:1", handleId: "kv-1", tokenCount: 3 };
const closeCleanly: RawScript = ({ socket }) => writeChunkedEnd(socket);
const halfClose: RawScript = ({ socket }) => void socket.end();
const reset: RawScript = ({ socket }) => socket.resetAndDestroy();

/** Resolves when a task starts to sleep for `milliseconds`. */
function watchForSleep(clock: FakeClock, milliseconds: number): Promise<void> {
    return new Promise(resolve => {
        const sleepUntil = clock.sleepUntil.bind(clock);
        clock.sleepUntil = (deadline, signal) => {
            if (deadline === clock.monotonicNow() + milliseconds) {
                resolve();
            }
            return sleepUntil(deadline, signal);
        };
    });
}

describe("readEngineStream", () => {
    it("ends at the end event, without waiting for the connection to close", async test => {
        const lines = [tokenLine(0), tokenLine(1, { tokenCount: 2, text: "two " }), endLine(3)];
        const { clock, engine } = await startEngineCase(test, streamLines(lines));
        const events = await generateAll(engine, clock, test.signal);
        assert.deepEqual(events.map(event => event.kind), ["tokens", "tokens", "end"]);
        assert.deepEqual(events[0], { kind: StreamEventKind.Tokens, offset: 0, tokenCount: 1, text: "t0 " });
    });

    it("reassembles characters and lines that are split over chunks", async test => {
        const bytes = Buffer.from(
            `${JSON.stringify(tokenLine(0, { text: "vůz €" }))}\n${JSON.stringify(endLine(1))}\n`,
        );
        const { clock, engine } = await startEngineCase(test, ({ socket }) => {
            writeChunkedHead(socket);
            bytes.forEach(byte => writeChunk(socket, Buffer.of(byte)));
        });
        const [first, last] = await generateAll(engine, clock, test.signal);
        assert.equal(first?.kind === StreamEventKind.Tokens && first.text, "vůz €");
        assert.equal(last?.kind, StreamEventKind.End);
    });

    const faults: { name: string; lines: readonly object[]; after?: RawScript; expected?: string; }[] = [
        { name: "a clean close without an end event", lines: [tokenLine(0)], after: closeCleanly },
        { name: "a half-closed socket", lines: [tokenLine(0)], after: halfClose },
        { name: "a reset", lines: [tokenLine(0)], after: reset },
        { name: "a half-closed socket before the first line", lines: [], after: halfClose },
        {
            name: "an end event without its line feed",
            lines: [tokenLine(0)],
            after: ({ socket }) => {
                writeChunk(socket, JSON.stringify(endLine(1)));
                writeChunkedEnd(socket);
            },
        },
        { name: "a repeated event", lines: [tokenLine(0), tokenLine(0)] },
        { name: "a missing event", lines: [tokenLine(0), tokenLine(2)] },
        { name: "reordered events", lines: [tokenLine(1), tokenLine(0)] },
        { name: "an event of another stream", lines: [tokenLine(0), tokenLine(1, { streamId: "st-2" })] },
        { name: "an end event of another stream", lines: [tokenLine(0), endLine(1, { streamId: "st-2" })] },
        { name: "an end event that counts more tokens", lines: [tokenLine(0), endLine(2)] },
        { name: "an end event that counts fewer tokens", lines: [tokenLine(0), endLine(0)] },
        { name: "the end event of a prefill part", lines: [endLine(0, { finishReason: "prefilled", kvHandle })] },
        { name: "more tokens than requested", lines: [tokenLine(0, { tokenCount: 5 })] },
        { name: "an event without tokens", lines: [tokenLine(0, { tokenCount: 0 })] },
        { name: "a line that is not an event", lines: [{ kind: "surprise" }] },
        {
            name: "an answer over the limit",
            lines: Array.from(Array(40).keys(), () => ({ kind: "waiting", streamId: "st-1" })),
            expected: "body_too_large/may_have_run",
        },
        {
            name: "a line over the limit",
            lines: [tokenLine(0, { text: "x".repeat(2_000) })],
            expected: "body_too_large/may_have_run",
        },
    ];
    for (const { name, lines, after, expected = broken } of faults) {
        it(`is ${expected} after ${name}`, async test => {
            const options = { maxAnswerBytes: 1_000 };
            const { clock, engine } = await startEngineCase(test, streamLines(lines, after), options);
            const events = await generateAll(engine, clock, test.signal);
            assert.equal(outcomeOf(events), expected);
            assert.equal(events.filter(event => event.kind === StreamEventKind.Broken).length, 1);
        });
    }

    const prefillEnds = [
        { name: "its end event", lines: [endLine(0, { finishReason: "prefilled", kvHandle })], expected: "end" },
        { name: "an end event without a handle", lines: [endLine(0, { finishReason: "prefilled" })], expected: broken },
        { name: "the end event of a whole answer", lines: [endLine(0, { finishReason: "stop" })], expected: broken },
        { name: "a token", lines: [tokenLine(0)], expected: broken },
    ];
    for (const { name, lines, expected } of prefillEnds) {
        it(`is ${expected} for a prefill part after ${name}`, async test => {
            const { clock, engine } = await startEngineCase(test, streamLines(lines));
            const changes = { part: GeneratePart.Prefill };
            assert.equal(outcomeOf(await generateAll(engine, clock, test.signal, changes)), expected);
        });
    }

    it("starts at the start offset", async test => {
        const { clock, engine } = await startEngineCase(test, streamLines([tokenLine(0), endLine(1)]));
        assert.equal(outcomeOf(await generateAll(engine, clock, test.signal, { startOffset: 2 })), broken);
    });

    it("is broken after the silence limit, which any line restarts", async test => {
        const script = streamLines([tokenLine(0)]);
        const { clock, engine, target } = await startEngineCase(test, script, { silenceMilliseconds: 100 });
        const stream = (await engine.generate(buildRequest(clock), test.signal)).unwrapOr([] as never);
        const events = stream[Symbol.asyncIterator]();
        await events.next();
        await clock.advance(90);
        const { socket } = await target.received("POST /generate");
        writeChunk(socket, `${JSON.stringify({ kind: "waiting", streamId: "st-1" })}\n`);
        writeChunk(socket, `${JSON.stringify(tokenLine(1))}\n`);
        await events.next();
        const next = events.next();
        await clock.advance(99);
        assert.deepEqual(target.requests.map(request => request.line), ["POST /generate"]);
        await clock.advance(1);
        assert.equal(outcomeOf([(await next).value]), "target_failed/may_have_run");
        await target.received("DELETE /streams/st-1");
    });

    it("is broken by the deadline, and cancels", async test => {
        const { clock, engine, target } = await startEngineCase(test, streamLines([tokenLine(0)]));
        const request = buildRequest(clock, { deadline: clock.wallNow() + 500 });
        const pending = collect((await engine.generate(request, test.signal)).unwrapOr([] as never));
        await clock.advance(500);
        assert.equal(outcomeOf(await pending), "deadline_passed/may_have_run");
        await target.received("DELETE /streams/st-1");
    });

    it("cancels at the engine when the caller aborts", async test => {
        const caller = new AbortController();
        const { clock, engine, target } = await startEngineCase(test, streamLines([tokenLine(0)]));
        const events = [];
        for await (const event of (await engine.generate(buildRequest(clock), caller.signal)).unwrapOr([] as never)) {
            events.push(event);
            caller.abort();
        }
        assert.equal(outcomeOf(events), "cancelled/may_have_run");
        await target.received("DELETE /streams/st-1");
    });

    it("retries the cancellation when the first attempt fails", async test => {
        const caller = new AbortController();
        const clock = new FakeClock();
        const paused = watchForSleep(clock, 500);
        const { engine, target } = await startEngineCase(test, streamLines([tokenLine(0)]), { clock });
        await engine.generate(buildRequest(clock), caller.signal);
        caller.abort();
        const first = await target.received("DELETE /streams/st-1");
        first.socket.resetAndDestroy();
        await paused;
        const second = target.received("DELETE /streams/st-1", 2);
        await clock.advance(500);
        writeAnswer((await second).socket, 204, "");
    });

    it("does not cancel when the reader stops early or the stream has ended", async test => {
        const caller = new AbortController();
        const { clock, engine, target } = await startEngineCase(test, streamLines([tokenLine(0), endLine(1)]));
        for await (const event of (await engine.generate(buildRequest(clock), caller.signal)).unwrapOr([] as never)) {
            assert.equal(event.kind, StreamEventKind.Tokens);
            break;
        }
        await generateAll(engine, clock, caller.signal);
        caller.abort();
        const state = engine.readState(1_000);
        await target.received("GET /state");
        await clock.advance(1_000);
        await state;
        assert.deepEqual(target.requests.map(request => request.line.split(" ")[0]), ["POST", "POST", "GET"]);
    });
});

function encodeChunk(text: string): string {
    return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** Sends the same chunks until the connection is closed. */
function sendWithoutEnd(chunk: string): RawScript {
    const pieces = Buffer.from(chunk.repeat(Math.ceil(65_536 / chunk.length)));
    return ({ socket }) => {
        writeChunkedHead(socket);
        socket.on("error", () => undefined);
        const write = () => {
            if (!socket.destroyed) {
                socket.write(pieces, () => setImmediate(write));
            }
        };
        write();
    };
}

// Guards against an engine that keeps the process from all other work, or ends it, by a stream of small pieces.
for (
    const { name, chunk } of [
        { name: "a line without end", chunk: encodeChunk("x") },
        { name: "waiting lines", chunk: encodeChunk(`${JSON.stringify({ kind: "waiting", streamId: "st-1" })}\n`) },
    ]
) {
    it(`leaves other work its turns while an engine sends ${name} in small chunks`, async test => {
        const { clock, engine } = await startEngineCase(test, sendWithoutEnd(chunk));
        const before = process.memoryUsage.rss();
        let longest = 0;
        let lastAt = performance.now();
        const timer = setInterval(() => {
            const at = performance.now();
            longest = Math.max(longest, at - lastAt);
            lastAt = at;
        }, 5);
        const caller = new AbortController();
        setTimeout(() => caller.abort(), 3_000).unref();
        const events = await generateAll(engine, clock, caller.signal);
        clearInterval(timer);
        const grown = (process.memoryUsage.rss() - before) / 1024 / 1024;
        test.diagnostic(`longest turn ${Math.round(longest)} ms, ${Math.round(grown)} MiB, ${outcomeOf(events)}`);
        assert.equal(events.at(-1)?.kind, StreamEventKind.Broken);
        assert.ok(longest < 500, `a turn took ${longest} ms`);
        assert.ok(grown < 100, `${grown} MiB`);
    });
}

describe("resume", () => {
    it("requests the tokens after the offset and accepts no others", async test => {
        const { engine, target } = await startEngineCase(test, ({ socket }) => {
            writeChunkedHead(socket);
            [tokenLine(2), endLine(3)].forEach(line => writeChunk(socket, `${JSON.stringify(line)}\n`));
        });
        const whole = await collect((await engine.resume("st-1", 2, test.signal)).unwrapOr([] as never));
        assert.equal(outcomeOf(whole), "end");
        assert.equal(target.requests[0]?.line, "GET /streams/st-1?offset=2");
        const wrong = await collect((await engine.resume("st-1", 1, test.signal)).unwrapOr([] as never));
        assert.equal(outcomeOf(wrong), broken);
    });

    it("never returns NotRun, since the stream was started earlier", async test => {
        const { clock } = await startEngineCase(test, () => undefined);
        const url = await findClosedUrl();
        const engine = createHttpEngine({ engineId: "engine-1", url, clock, dispatcher: createTestDispatcher(test) });
        assert.equal(failureOf(await engine.resume("st-1", 2, test.signal)), "target_failed/may_have_run");
    });
});

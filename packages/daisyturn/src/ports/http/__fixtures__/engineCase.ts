import { type Clock, type Failure, FakeClock } from "daisyturn-utils";
import type { TestContext } from "node:test";
import type { Result } from "true-myth/result";
import { Agent, type buildConnector, type Dispatcher } from "undici";
import {
    type Engine,
    FinishReason,
    GeneratePart,
    type GenerateRequest,
    Priority,
    type StreamEvent,
    StreamEventKind,
} from "../../engine.js";
import { createHttpEngine, type HttpEngineOptions } from "../createHttpEngine.js";
import { createTargetDispatcher } from "../targetDispatcher.js";
import { type RawScript, type RawTarget, startRawTarget, writeChunk, writeChunkedHead } from "./startRawTarget.js";

/** An engine adapter connected to a raw target. */
export interface EngineCase {
    readonly clock: FakeClock;
    readonly target: RawTarget;
    readonly engine: Engine;
}

export const streamId = "st-1";

/** Creates a dispatcher that is destroyed after the test. */
export function createTestDispatcher(test: TestContext): Dispatcher {
    const dispatcher = createTargetDispatcher();
    test.after(() => dispatcher.destroy());
    return dispatcher;
}

/** Creates a dispatcher that uses the test's connector. */
export function createConnectingDispatcher(test: TestContext, connect: buildConnector.connector): Dispatcher {
    const dispatcher = new Agent({ connect });
    test.after(() => dispatcher.destroy());
    return dispatcher;
}

export async function startEngineCase(
    test: TestContext,
    onRequest: RawScript,
    options: Partial<HttpEngineOptions> & { readonly clock?: FakeClock; } = {},
): Promise<EngineCase> {
    const clock = options.clock ?? new FakeClock();
    const target = await startRawTarget(test, { onRequest });
    const dispatcher = createTestDispatcher(test);
    const engine = createHttpEngine({ engineId: "engine-1", url: target.url, clock, dispatcher, ...options });
    return { clock, target, engine };
}

export function buildRequest(clock: Clock, changes: Partial<GenerateRequest> = {}): GenerateRequest {
    return {
        streamId,
        part: GeneratePart.Whole,
        model: "large",
        prompt: "fare rules",
        promptBlocks: [],
        maxOutputTokens: 4,
        priority: Priority.Interactive,
        deadline: clock.wallNow() + 60_000,
        ...changes,
    };
}

/** Builds a line with one token. */
export function tokenLine(offset: number, changes: object = {}): object {
    return { kind: StreamEventKind.Tokens, streamId, offset, tokenCount: 1, text: `t${offset} `, ...changes };
}

export function endLine(outputTokens: number, changes: object = {}): object {
    return {
        kind: StreamEventKind.End,
        streamId,
        finishReason: FinishReason.Stop,
        promptTokens: 3,
        cachedTokens: 0,
        outputTokens,
        ...changes,
    };
}

/** Creates a script that answers `generate` with these lines and leaves the connection open. */
export function streamLines(lines: readonly object[], after: RawScript = () => undefined): RawScript {
    return request => {
        if (request.line.startsWith("POST /generate")) {
            writeChunkedHead(request.socket);
            lines.forEach(line => writeChunk(request.socket, `${JSON.stringify(line)}\n`));
            after(request);
        }
    };
}

export async function collect(stream: AsyncIterable<StreamEvent>): Promise<StreamEvent[]> {
    const events: StreamEvent[] = [];
    for await (const event of stream) {
        events.push(event);
    }
    return events;
}

/** Describes the last event of a stream: a failure as `reason/verdict`, an end event as `end`. */
export function outcomeOf(events: readonly StreamEvent[]): string {
    const last = events.at(-1);
    return last?.kind === StreamEventKind.Broken ? describe(last.failure) : last?.kind ?? "nothing";
}

export function describe(failure: Failure): string {
    return `${failure.reason}/${failure.verdict}`;
}

/** Describes a result: a failure as `reason/verdict`, a success as `ok`. */
export function failureOf(result: Result<unknown, Failure>): string {
    return result.isErr ? describe(result.error) : "ok";
}

/** Generates and reads the stream to the end. */
export async function generateAll(
    engine: Engine,
    clock: Clock,
    signal: AbortSignal,
    changes: Partial<GenerateRequest> = {},
): Promise<StreamEvent[]> {
    const generated = await engine.generate(buildRequest(clock, changes), signal);
    return generated.isOk
        ? collect(generated.value)
        : [{ kind: StreamEventKind.Broken, failure: generated.error }];
}

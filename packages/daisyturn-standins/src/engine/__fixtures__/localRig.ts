import {
    charactersPerToken,
    GeneratePart,
    type GenerateRequest,
    hashPromptBlocks,
    Priority,
    type StreamEvent,
} from "daisyturn";
import { FakeClock } from "daisyturn-utils";
import type { TestContext } from "node:test";
import { createLocalEngine, type LocalEngine, type LocalFleet } from "../createLocalEngine.js";
import type { EngineOptions } from "../engineOptions.js";

/** In-process engines on a fake clock. They are ended after the test. */
export interface LocalRig {
    readonly clock: FakeClock;
    addEngine(options?: Partial<EngineOptions>): LocalEngine;
}

export function createLocalRig(test: TestContext): LocalRig {
    const clock = new FakeClock();
    const fleet: LocalFleet = new Map();
    const addEngine = (options: Partial<EngineOptions> = {}) => {
        const engine = createLocalEngine({ id: "engine-1", models: ["large"], ...options }, clock, fleet);
        test.after(() => engine.end());
        return engine;
    };
    return { clock, addEngine };
}

/** Builds a prompt of `promptTokens` tokens whose answer has `answerTokens` tokens. */
export function buildPrompt(name: string, promptTokens: number, answerTokens: number): string {
    return `<answer-tokens:${answerTokens}>`.padEnd(promptTokens * charactersPerToken, name);
}

export function buildLocalRequest(clock: FakeClock, changes: Partial<GenerateRequest> = {}): GenerateRequest {
    const prompt = changes.prompt ?? buildPrompt("guide", 512, 20);
    return {
        streamId: "st-1",
        part: GeneratePart.Whole,
        model: "large",
        prompt,
        promptBlocks: hashPromptBlocks(prompt),
        maxOutputTokens: 100,
        priority: Priority.Interactive,
        deadline: clock.wallNow() + 600_000,
        ...changes,
    };
}

/** Starts reading a stream. Events are appended to the returned array as they arrive. */
export async function startStream(
    engine: LocalEngine,
    request: GenerateRequest,
    signal: AbortSignal,
): Promise<StreamEvent[]> {
    const events: StreamEvent[] = [];
    const stream = (await engine.generate(request, signal)).unwrapOrElse(failure => {
        throw new Error(`${failure.reason}: ${failure.message}`);
    });
    void collectInto(stream, events);
    return events;
}

export async function collectInto(stream: AsyncIterable<StreamEvent>, events: StreamEvent[]): Promise<void> {
    for await (const event of stream) {
        events.push(event);
    }
}

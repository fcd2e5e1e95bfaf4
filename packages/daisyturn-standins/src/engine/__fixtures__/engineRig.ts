import {
    createHttpEngine,
    createTargetDispatcher,
    type Engine,
    GeneratePart,
    type GenerateRequest,
    hashPromptBlocks,
    Priority,
    type StreamEvent,
    StreamEventKind,
} from "daisyturn";
import { SystemClock } from "daisyturn-utils";
import type { TestContext } from "node:test";
import { createEngineServer, type EngineServer } from "../createEngineServer.js";
import type { EngineOptions } from "../engineOptions.js";

/** An engine stand-in and an HTTP adapter to it. Both are closed after the test. */
export interface EngineRig {
    readonly server: EngineServer;
    readonly engine: Engine;
}

export async function startEngineRig(test: TestContext, options: Partial<EngineOptions> = {}): Promise<EngineRig> {
    const server = await createEngineServer({ id: "engine-1", models: ["large"], speed: 50, ...options });
    const dispatcher = createTargetDispatcher();
    test.after(async () => {
        await dispatcher.destroy();
        await server.close();
    });
    const engine = createHttpEngine({
        engineId: options.id ?? "engine-1",
        url: server.url,
        clock: new SystemClock(),
        dispatcher,
    });
    return { server, engine };
}

export function buildRequest(changes: Partial<GenerateRequest> = {}): GenerateRequest {
    const prompt = changes.prompt ?? "condition dossier <answer-tokens:40>";
    return {
        streamId: "st-1",
        part: GeneratePart.Whole,
        model: "large",
        prompt,
        promptBlocks: hashPromptBlocks(prompt),
        maxOutputTokens: 100,
        priority: Priority.Interactive,
        deadline: Date.now() + 30_000,
        ...changes,
    };
}

/** Reads a stream to its end. */
export async function collectEvents(stream: AsyncIterable<StreamEvent>): Promise<StreamEvent[]> {
    const events: StreamEvent[] = [];
    for await (const event of stream) {
        events.push(event);
    }
    return events;
}

export function joinText(events: readonly StreamEvent[]): string {
    return events.map(event => event.kind === StreamEventKind.Tokens ? event.text : "").join("");
}

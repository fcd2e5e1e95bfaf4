import {
    createHttpEngine,
    createTargetDispatcher,
    type Engine,
    GeneratePart,
    hashPromptBlocks,
    Priority,
    StreamEventKind,
} from "daisyturn";
import { SystemClock } from "daisyturn-utils";
import { setMaxListeners } from "node:events";
import * as path from "node:path";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import { decodeRate, prefillRate } from "../engine/batch/speedModel.js";
import { engineOptionsSchema } from "../engine/engineOptions.js";
import { type ChildProgram, startChildProgram } from "../fleet/childProgram.js";

// Puts load on one engine stand-in over HTTP and prints the measured rates beside those of the formula, and the
// processor time of the engine and of the client. Usage: node packages/daisyturn-standins/dist/measure/measureEngine.js

/** Duration of one measurement in wall-clock time. */
const measuredMilliseconds = 4_000;
/** Wall-clock time before the measurement, in which streams start. */
const settlingMilliseconds = 1_500;
const prefillPromptTokens = 4_096;

interface Case {
    readonly engines: number;
    readonly speed: number;
    /** At each engine. */
    readonly streams: number;
    readonly part: GeneratePart.Whole | GeneratePart.Prefill;
}

const cases: readonly Case[] = [
    { engines: 1, speed: 1, streams: 1, part: GeneratePart.Whole },
    { engines: 1, speed: 1, streams: 16, part: GeneratePart.Whole },
    { engines: 1, speed: 1, streams: 64, part: GeneratePart.Whole },
    { engines: 1, speed: 10, streams: 16, part: GeneratePart.Whole },
    { engines: 1, speed: 10, streams: 64, part: GeneratePart.Whole },
    { engines: 1, speed: 1, streams: 8, part: GeneratePart.Prefill },
    { engines: 1, speed: 10, streams: 8, part: GeneratePart.Prefill },
    { engines: 20, speed: 1, streams: 8, part: GeneratePart.Whole },
];

interface Usage {
    /** Processor time in milliseconds. */
    readonly processor: number;
    readonly residentMegabytes: number;
}

const engineScript = path.join(path.dirname(fileURLToPath(import.meta.url)), "../engine/runEngine.js");
const clock = new SystemClock();
let tokenCount = 0;

console.log(
    "part     engines speed streams  tokens/s  formula  engine core % per 1,000/s  reader core % per 1,000/s  MB an engine",
);
for (const measured of cases) {
    console.log(await measure(measured));
}

async function measure({ engines, speed, streams, part }: Case): Promise<string> {
    const programs = await Promise.all(Array.from(Array(engines).keys(), index => startEngine(index, speed)));
    const dispatcher = createTargetDispatcher();
    const stopper = new AbortController();
    setMaxListeners(engines * streams + 1, stopper.signal);
    const tasks = programs.flatMap(({ name, words }) => {
        const engine = createHttpEngine({ engineId: name, url: words.get("url") ?? "", clock, dispatcher });
        return Array.from(Array(streams).keys(), index => receiveStreams(engine, part, index, stopper.signal));
    });
    await clock.sleepUntil(clock.monotonicNow() + settlingMilliseconds);

    const before = await takeSample(programs);
    await clock.sleepUntil(before.at + measuredMilliseconds);
    const after = await takeSample(programs);
    stopper.abort();
    await Promise.all(tasks);
    await dispatcher.destroy();
    await Promise.all(programs.map(program => program.stop()));

    const elapsed = after.at - before.at;
    const rate = (after.tokens - before.tokens) * 1_000 / elapsed;
    const corePart = (processor: number) => processor / elapsed * 100 / (rate / 1_000);
    const settings = engineOptionsSchema.parse({ id: "engine-1", models: ["large"] });
    const simulated = part === GeneratePart.Prefill ? prefillRate(settings) : streams * decodeRate(settings, streams);
    return [
        part.padEnd(8),
        String(engines).padStart(7),
        String(speed).padStart(5),
        String(streams).padStart(7),
        rate.toFixed(0).padStart(9),
        (simulated * speed * engines).toFixed(0).padStart(8),
        corePart(after.engine.processor - before.engine.processor).toFixed(2).padStart(26),
        corePart(after.reader - before.reader).toFixed(2).padStart(26),
        (after.engine.residentMegabytes / engines).toFixed(0).padStart(13),
    ].join(" ");
}

/** Receives streams one after the other until the signal is aborted, counting their tokens. */
async function receiveStreams(engine: Engine, part: Case["part"], reader: number, signal: AbortSignal): Promise<void> {
    for (let number = 0; !signal.aborted; number++) {
        const isPrefill = part === GeneratePart.Prefill;
        const streamId = `st-${part}-${reader}-${number}-${Math.floor(clock.wallNow())}`;
        const marker = `${streamId} <answer-tokens:1000000>`;
        const prompt = isPrefill ? marker.padEnd(prefillPromptTokens * 4, "dossier ") : marker;
        const generated = await engine.generate({
            streamId,
            part,
            model: "large",
            prompt,
            promptBlocks: hashPromptBlocks(prompt),
            maxOutputTokens: 1_000_000,
            priority: Priority.Interactive,
            deadline: clock.wallNow() + 60_000,
        }, signal);
        for await (const event of generated.unwrapOr([] as never)) {
            if (event.kind === StreamEventKind.Tokens) {
                tokenCount += event.tokenCount;
            }
            if (event.kind === StreamEventKind.End) {
                tokenCount += isPrefill ? event.promptTokens : 0;
            }
        }
    }
}

function startEngine(index: number, speed: number): Promise<ChildProgram> {
    const id = `engine-${index + 1}`;
    const words = ["--id", id, "--models", "large", "--speed", String(speed), "--kv-tokens-capacity", "100000000"];
    return startChildProgram(id, engineScript, words);
}

/** Tokens and processor time at one moment; `at` is the time at which the tokens were counted. */
interface Sample {
    readonly at: number;
    readonly tokens: number;
    readonly reader: number;
    readonly engine: Usage;
}

async function takeSample(programs: readonly ChildProgram[]): Promise<Sample> {
    const { user, system } = process.cpuUsage();
    const own = { at: clock.monotonicNow(), tokens: tokenCount, reader: (user + system) / 1_000 };
    const usages = await Promise.all(programs.map(program => readUsage(program.words.get("url") ?? "")));
    const engine = {
        processor: usages.reduce((sum, usage) => sum + usage.processor, 0),
        residentMegabytes: usages.reduce((sum, usage) => sum + usage.residentMegabytes, 0),
    };
    return { ...own, engine };
}

async function readUsage(url: string): Promise<Usage> {
    const answer = await request(`${url}/control/usage`);
    return await answer.body.json() as Usage;
}

import { createSeededRandom, MemoryEventLog, type Random } from "daisyturn-utils";
import type { PromptDescription } from "../../../ports/forwardedCall.js";
import { EngineStage } from "../../../ports/listedTarget.js";
import { createPlacementBench, engineService } from "../../../process/forwarding/__fixtures__/placementBench.js";
import { createSizeFairness, type Mechanism, type PromptWay } from "../../../process/forwarding/index.js";
import { type AdmissionParts, admitPrompt, type AdmittedRun } from "../admitPrompt.js";
import { findLeaveTime } from "../findLateness.js";
import { createRequestTrace } from "../requestTrace.js";

/** A stretch of time in which more prompts come than the engines can read, and how it is played. */
export interface Overload {
    readonly seed: number;
    /** Long prompts a second, of sizes that spread widely. */
    readonly longPerSecond: number;
    /** Short prompts a second, each a few milliseconds of reading. */
    readonly shortPerSecond: number;
    readonly seconds: number;
    /** What an experiment takes out. */
    readonly switchedOff?: ReadonlySet<Mechanism>;
}

/** A long prompt, and whether its answer began before its caller left. */
export interface PlayedPrompt {
    readonly tokens: number;
    readonly isServed: boolean;
}

interface QueuedPrompt {
    readonly way: PromptWay;
    readonly leavesAt: number;
    readonly finish: (isServed: boolean) => void;
    left: number;
}

const sliceMilliseconds = 5;
const millisecondsPerSecond = 1_000;
const latencyAimMilliseconds = 600;
const patienceMilliseconds = 6_000;
/** Texts that long prompts begin with: their mean length, its spread in powers of e, and how many there are. */
const sharedTexts = 47;
const meanSharedTokens = 10_500;
const sharedSpread = 0.7;
/** What a long prompt adds to its text. */
const meanOwnTokens = 2_000;
const ownSpread = 1.1;
const shortTokens = 380;
const bytesPerToken = 2;
const stages = [...Array<EngineStage>(3).fill(EngineStage.Prefill), ...Array<EngineStage>(5).fill(EngineStage.Decode)];

/**
 * Plays an overload without a network: one process places and refuses the prompts, and each engine reads what it was sent at
 * the speed that is forecast, more urgent prompts first, in order of arrival among equals. Callers who have had no event
 * when their patience ends leave.
 */
export async function playOverload(
    { seed, longPerSecond, shortPerSecond, seconds, switchedOff = new Set() }: Overload,
) {
    const random = createSeededRandom(seed);
    const { placement, loads, caches, clock } = createPlacementBench(stages, seed);
    const parts: AdmissionParts = { placement, clock, switchedOff };
    const sizeFairness = createSizeFairness();
    const queues = new Map<string, QueuedPrompt[]>();
    const played: PlayedPrompt[] = [];
    const texts = Array.from({ length: sharedTexts }, () => drawTokens(random, meanSharedTokens, sharedSpread));
    let count = 0;

    const arrive = (kind: string, prompt: PromptDescription, onEnd: (isServed: boolean) => void) => {
        const run = createRun(clock.monotonicNow(), prompt);
        const account = sizeFairness.begin(kind, prompt.promptTokens);
        const end = (isServed: boolean) => {
            if (!isServed) {
                account.noteUnserved();
            }
            onEnd(isServed);
        };
        const admitted = admitPrompt(parts, run, { prompt, account, isWholeOnly: false, hasBegun: false });
        if (admitted.isErr) {
            end(false);
            return;
        }
        const way = admitted.value;
        const step = way.prefill ?? way.decode;
        const { targetId } = step.target;
        const placed = loads.begin(targetId, { work: step.work, isDeferred: way.isDeferred, tokens: 0 });
        caches.note(targetId, prompt.parts, engineService.engine?.kvTokens ?? 0);
        const finish = (isServed: boolean) => {
            placed.end();
            end(isServed);
        };
        const queue = queues.get(targetId) ?? [];
        queues.set(targetId, queue);
        queue.push({ way, left: step.leastWork, leavesAt: findLeaveTime(run), finish });
    };

    const createLong = (): PromptDescription => {
        const text = Math.floor(random.fraction() * sharedTexts);
        const shared = texts[text] ?? meanSharedTokens;
        const own = drawTokens(random, meanOwnTokens, ownSpread);
        const parts = [{ partId: `text-${text}`, tokens: shared }, { partId: `own-${count}`, tokens: own }];
        return { ...answerLimits, promptTokens: shared + own, parts };
    };

    const createShort = (): PromptDescription => ({
        ...answerLimits,
        promptTokens: shortTokens,
        parts: [{ partId: `short-${count}`, tokens: shortTokens }],
    });

    for (let slice = 0; slice < seconds * millisecondsPerSecond / sliceMilliseconds; slice++) {
        count += 1;
        if (random.fraction() < longPerSecond * sliceMilliseconds / millisecondsPerSecond) {
            const prompt = createLong();
            arrive("long", prompt, isServed => played.push({ tokens: prompt.promptTokens, isServed }));
        }
        if (random.fraction() < shortPerSecond * sliceMilliseconds / millisecondsPerSecond) {
            arrive("short", createShort(), () => undefined);
        }
        await clock.advance(sliceMilliseconds);
        queues.forEach((queue, targetId) => queues.set(targetId, work(queue, clock.monotonicNow())));
    }
    return played;
}

/** Served of all, by tenths of the order of size, smallest first. */
export function shareByTenth(played: readonly PlayedPrompt[]): readonly number[] {
    const ordered = [...played].sort((left, right) => left.tokens - right.tokens);
    return Array.from({ length: 10 }, (...[, tenth]) => {
        const part = ordered.slice(tenth * ordered.length / 10, (tenth + 1) * ordered.length / 10);
        return shareServed(part);
    });
}

export function shareServed(played: readonly PlayedPrompt[]): number {
    return played.filter(({ isServed }) => isServed).length / played.length;
}

function createRun(arrivedAt: number, { promptTokens }: PromptDescription): AdmittedRun {
    return {
        call: { arrivedAt, body: Buffer.alloc(promptTokens * bytesPerToken) },
        service: engineService,
        route: { latencyAimMilliseconds },
        deadline: arrivedAt + patienceMilliseconds,
        pauseAim: 150,
        avoid: new Set(),
        trace: createRequestTrace({
            eventLog: new MemoryEventLog(),
            sampledCalls: 1,
            callId: "a",
            arrivedAt,
            now: () => arrivedAt,
        }),
    };
}

const answerLimits = { model: "m", maxOutputTokens: 200, expectedOutputTokens: 100 };

/** One slice of an engine's time; gives back what is still waiting. */
function work(queue: readonly QueuedPrompt[], now: number): QueuedPrompt[] {
    queue.filter(({ leavesAt }) => leavesAt <= now).forEach(({ finish }) => finish(false));
    const waiting = queue.filter(({ leavesAt }) => leavesAt > now).sort(compareUrgency);
    let time = sliceMilliseconds;
    for (const prompt of waiting) {
        const done = Math.min(time, prompt.left);
        prompt.left -= done;
        time -= done;
        if (prompt.left <= 0) {
            prompt.finish(true);
        }
    }
    return waiting.filter(({ left }) => left > 0);
}

function compareUrgency(left: QueuedPrompt, right: QueuedPrompt): number {
    return Number(left.way.isDeferred) - Number(right.way.isDeferred);
}

/** A length whose logarithm is spread evenly around that of the mean. */
function drawTokens(random: Random, mean: number, spread: number): number {
    return Math.round(mean * Math.exp((random.fraction() + random.fraction() + random.fraction() - 1.5) * 2 * spread));
}

import { charactersPerToken, FinishReason, GeneratePart, promptBlockCharacters, StreamEventKind } from "daisyturn";
import type { PrefixCache } from "../cache/prefixCache.js";
import type { EngineSettings } from "../engineOptions.js";
import type { EngineStream } from "../engineStream.js";
import { createJobLists, type Job, servingOrder, type WorkCounts } from "./jobLists.js";
import { stepMilliseconds } from "./speedModel.js";

/** Tokens per block of the prefix cache. */
const blockTokens = promptBlockCharacters / charactersPerToken;

/** The step that is being executed. */
interface Step {
    readonly endsAt: number;
    readonly decoding: readonly Job[];
    readonly prefills: readonly { readonly job: Job; readonly tokens: number; }[];
}

/** Receives the results of completed steps. Times are simulated. */
export interface SchedulerListener {
    /** The stream has new tokens or its prefill ended. */
    progressed(stream: EngineStream): void;
    /** All blocks of the prompt are computed. */
    prefilled(stream: EngineStream, now: number): void;
    ended(stream: EngineStream, now: number): void;
}

/**
 * Continuous batching. Each step decodes one token for every running stream and prefills chunks of prompts up to a
 * budget. Time is simulated and advances only through `advanceTo`.
 */
export interface BatchScheduler {
    /** Runs all steps that end at or before `time`. */
    advanceTo(time: number): void;
    /** Queues a stream. Returns false if the queue is full. Call `advanceTo` with the current time first. */
    submit(stream: EngineStream, importedTokens: number, readyAt: number): boolean;
    /** Removes the job of a stream. Returns false if there is none. */
    remove(streamId: string): boolean;
    /** Simulated time of the next change, or undefined if there is no work. */
    nextEventAt(): number | undefined;
    /** Reserves KV memory for exported caches. A negative number frees it. */
    reserveKv(tokens: number): void;
    counts(): WorkCounts;
}

/** KV memory that a stream requires: its prompt and the maximum output, in tokens. */
export function neededKvTokens(stream: EngineStream): number {
    const isPrefill = stream.request.part === GeneratePart.Prefill;
    return stream.promptTokens + (isPrefill ? 0 : stream.request.maxOutputTokens);
}

/** Creates the scheduler of one incarnation. */
export function createBatchScheduler(
    settings: EngineSettings,
    cache: PrefixCache,
    listener: SchedulerListener,
): BatchScheduler {
    const lists = createJobLists();
    let step: Step | undefined;
    let now = 0;
    let kvTokensUsed = 0;

    const advanceTo = (time: number) => {
        for (;;) {
            if (step) {
                if (step.endsAt > time) {
                    return;
                }
                now = step.endsAt;
                finishStep(step);
                step = undefined;
            }
            queueImported();
            startQueued();
            if (lists.runningCount() > 0) {
                step = planStep(
                    settings,
                    lists.decoding,
                    servingOrder.flatMap(priority => lists.prefilling[priority]),
                    now,
                );
                continue;
            }
            const nextReadyAt = Math.min(...lists.importing.map(job => job.readyAt));
            now = Math.min(time, nextReadyAt);
            if (nextReadyAt > time) {
                return;
            }
        }
    };

    const queueImported = () => {
        const ready = lists.importing.filter(job => job.readyAt <= now);
        lists.importing = lists.importing.filter(job => job.readyAt > now);
        ready.forEach(job => lists.queued[job.stream.request.priority].push(job));
    };

    const startQueued = () => {
        for (const priority of servingOrder) {
            const queue = lists.queued[priority];
            for (let next = queue[0]; next && canRun(next); next = queue[0]) {
                queue.shift();
                start(next);
            }
            if (queue.length > 0) {
                // Bulk jobs must not start before interactive jobs that wait for memory.
                return;
            }
        }
    };

    const canRun = (job: Job) =>
        lists.runningCount() < settings.maxRunningStreams
        && kvTokensUsed + job.kvTokens <= settings.kvTokensCapacity;

    const start = (job: Job) => {
        const { stream } = job;
        const contextTokens = stream.promptTokens + stream.generatedTokens;
        const matchedTokens = cache.match(stream.request.promptBlocks) * blockTokens;
        stream.cachedTokens = Math.min(matchedTokens, stream.promptTokens);
        kvTokensUsed += job.kvTokens;
        if (job.importedTokens >= contextTokens) {
            lists.decoding.push(job);
            return;
        }
        // The last token must be computed even if the whole prompt is cached.
        const known = Math.min(Math.max(stream.cachedTokens, job.importedTokens), contextTokens - 1);
        job.prefillRemaining = contextTokens - known;
        lists.prefilling[stream.request.priority].push(job);
    };

    const finishStep = (finished: Step) => {
        // Jobs that were removed during the step are no longer in any list.
        const live = new Set(lists.decoding);
        finished.decoding.filter(job => live.has(job)).forEach(produceToken);
        finished.prefills.forEach(({ job, tokens }) => advancePrefill(job, tokens));
        lists.decoding = lists.decoding.filter(job => !job.stream.end);
    };

    const advancePrefill = (job: Job, tokens: number) => {
        const list = lists.prefilling[job.stream.request.priority];
        if (!list.includes(job)) {
            return;
        }
        job.prefillRemaining -= tokens;
        if (job.prefillRemaining > 0) {
            return;
        }
        list.splice(list.indexOf(job), 1);
        listener.prefilled(job.stream, now);
        // The step that completes a prefill also produces the first token.
        lists.decoding.push(job);
        produceToken(job);
    };

    const produceToken = (job: Job) => {
        const { stream } = job;
        if (stream.generatedTokens < stream.targetTokens) {
            stream.generatedTokens += 1;
        }
        if (stream.generatedTokens >= stream.targetTokens) {
            kvTokensUsed -= job.kvTokens;
            endStream(stream, now);
            listener.ended(stream, now);
        }
        listener.progressed(stream);
    };

    const submit = (stream: EngineStream, importedTokens: number, readyAt: number) => {
        if (lists.queuedCount() >= settings.maxQueuedRequests) {
            return false;
        }
        const kvTokens = neededKvTokens(stream);
        lists.importing.push({ stream, kvTokens, importedTokens, readyAt, prefillRemaining: 0 });
        advanceTo(now);
        return true;
    };

    const remove = (streamId: string) => {
        const removed = lists.remove(streamId);
        if (removed?.wasRunning) {
            kvTokensUsed -= removed.job.kvTokens;
        }
        return removed !== undefined;
    };

    const nextEventAt = () => {
        const next = Math.min(...lists.importing.map(job => job.readyAt), step?.endsAt ?? Number.POSITIVE_INFINITY);
        return Number.isFinite(next) ? next : undefined;
    };

    const reserveKv = (tokens: number) => {
        kvTokensUsed += tokens;
    };

    return { advanceTo, submit, remove, nextEventAt, reserveKv, counts: () => lists.count(kvTokensUsed) };
}

/** Plans one token for every decoding stream and assigns the prefill budget in serving order. */
function planStep(settings: EngineSettings, decoding: readonly Job[], prefilling: readonly Job[], now: number): Step {
    const prefills: { job: Job; tokens: number; }[] = [];
    let budget = settings.prefillTokensPerStep;
    for (const job of prefilling) {
        const tokens = Math.min(budget, job.prefillRemaining);
        if (tokens === 0) {
            break;
        }
        prefills.push({ job, tokens });
        budget -= tokens;
    }
    const prefillTokens = settings.prefillTokensPerStep - budget;
    const endsAt = now + stepMilliseconds(settings, decoding.length, prefillTokens);
    return { endsAt, decoding: [...decoding], prefills };
}

function endStream(stream: EngineStream, now: number): void {
    stream.endedAt = now;
    stream.end = {
        kind: StreamEventKind.End,
        streamId: stream.request.streamId,
        finishReason: finishReasonOf(stream),
        promptTokens: stream.promptTokens,
        cachedTokens: stream.cachedTokens,
        outputTokens: stream.generatedTokens,
    };
}

function finishReasonOf(stream: EngineStream): FinishReason {
    if (stream.request.part === GeneratePart.Prefill) {
        return FinishReason.Prefilled;
    }
    return stream.answer.naturalLength <= stream.request.maxOutputTokens ? FinishReason.Stop : FinishReason.Length;
}

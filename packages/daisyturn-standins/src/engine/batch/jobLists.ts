import { GeneratePart, Priority } from "daisyturn";
import type { EngineStream } from "../engineStream.js";

/** The scheduled work of one stream. */
export interface Job {
    readonly stream: EngineStream;
    /** KV memory reserved while the job runs, in tokens. */
    readonly kvTokens: number;
    /** Tokens whose KV cache was imported. */
    readonly importedTokens: number;
    /** Simulated time at which the import of the KV cache completes. */
    readonly readyAt: number;
    prefillRemaining: number;
}

/** Amounts of work for the load report. */
export interface WorkCounts {
    readonly running: number;
    readonly queued: number;
    readonly queuedPrefillTokens: number;
    readonly outstandingOutputTokens: number;
    readonly kvTokensUsed: number;
}

/** Jobs by stage. Each job is in exactly one list. */
export interface JobLists {
    /** Jobs that wait for their imported KV cache. */
    importing: Job[];
    readonly queued: Record<Priority, Job[]>;
    readonly prefilling: Record<Priority, Job[]>;
    decoding: Job[];
    runningCount(): number;
    queuedCount(): number;
    /** Removes and returns the job of a stream. */
    remove(streamId: string): { readonly job: Job; readonly wasRunning: boolean; } | undefined;
    count(kvTokensUsed: number): WorkCounts;
}

/** Order in which priorities are served. */
export const servingOrder: readonly Priority[] = [Priority.Interactive, Priority.Bulk];

/** Creates empty lists. */
export function createJobLists(): JobLists {
    const waiting = () => [...lists.importing, ...servingOrder.flatMap(priority => lists.queued[priority])];
    const prefilling = () => servingOrder.flatMap(priority => lists.prefilling[priority]);
    const running = () => [...prefilling(), ...lists.decoding];

    const remove = (streamId: string) => {
        const isWanted = (job: Job) => job.stream.request.streamId === streamId;
        const runningJob = running().find(isWanted);
        const job = runningJob ?? waiting().find(isWanted);
        if (!job) {
            return undefined;
        }
        lists.importing = lists.importing.filter(other => other !== job);
        lists.decoding = lists.decoding.filter(other => other !== job);
        for (const priority of servingOrder) {
            lists.queued[priority] = lists.queued[priority].filter(other => other !== job);
            lists.prefilling[priority] = lists.prefilling[priority].filter(other => other !== job);
        }
        return { job, wasRunning: runningJob !== undefined };
    };

    const count = (kvTokensUsed: number): WorkCounts => ({
        running: lists.runningCount(),
        queued: lists.queuedCount(),
        queuedPrefillTokens: sum(waiting().map(contextToPrefill)) + sum(prefilling().map(job => job.prefillRemaining)),
        outstandingOutputTokens: sum([...waiting(), ...running()].map(job => outstandingTokens(job.stream))),
        kvTokensUsed,
    });

    const lists: JobLists = {
        importing: [],
        queued: { [Priority.Interactive]: [], [Priority.Bulk]: [] },
        prefilling: { [Priority.Interactive]: [], [Priority.Bulk]: [] },
        decoding: [],
        runningCount: () =>
            lists.decoding.length + sum(servingOrder.map(priority => lists.prefilling[priority].length)),
        queuedCount: () => lists.importing.length + sum(servingOrder.map(priority => lists.queued[priority].length)),
        remove,
        count,
    };
    return lists;
}

/** Tokens to prefill before a waiting job can decode, assuming that no block of its prompt is cached. */
function contextToPrefill(job: Job): number {
    return Math.max(0, job.stream.promptTokens + job.stream.generatedTokens - job.importedTokens);
}

/** Counts up to the requested maximum, because the engine can't know when the model will end its answer. */
function outstandingTokens(stream: EngineStream): number {
    const isPrefill = stream.request.part === GeneratePart.Prefill;
    return isPrefill ? 0 : Math.max(0, stream.request.maxOutputTokens - stream.generatedTokens);
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}

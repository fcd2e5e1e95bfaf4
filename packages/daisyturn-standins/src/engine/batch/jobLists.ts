import { GeneratePart, Priority } from "daisyturn";
import type { EngineStream } from "../engineStream.js";

/** The work of one stream. */
export interface Job {
    readonly stream: EngineStream;
    /** Tokens of KV cache that it holds while it runs. */
    readonly kvTokens: number;
    /** Tokens whose KV cache was imported. */
    readonly importedTokens: number;
    /** Simulated time at which its imported KV cache is there. */
    readonly readyAt: number;
    prefillRemaining: number;
}

/** Amounts of work, for the load report. */
export interface WorkCounts {
    readonly running: number;
    readonly queued: number;
    readonly queuedPrefillTokens: number;
    readonly outstandingOutputTokens: number;
    readonly kvTokensUsed: number;
}

/** Jobs by the stage that they are in; each job is in one list. */
export interface JobLists {
    /** Waiting for their KV cache. */
    importing: Job[];
    readonly queued: Record<Priority, Job[]>;
    readonly prefilling: Record<Priority, Job[]>;
    decoding: Job[];
    runningCount(): number;
    queuedCount(): number;
    /** Takes a stream's job out. */
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

/** Tokens to prefill before a job that waits can decode, as if nothing of it were cached. */
function contextToPrefill(job: Job): number {
    return Math.max(0, job.stream.promptTokens + job.stream.generatedTokens - job.importedTokens);
}

/** The engine can't know when the model will end its answer, so it counts all that was asked for. */
function outstandingTokens(stream: EngineStream): number {
    const isPrefill = stream.request.part === GeneratePart.Prefill;
    return isPrefill ? 0 : Math.max(0, stream.request.maxOutputTokens - stream.generatedTokens);
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}

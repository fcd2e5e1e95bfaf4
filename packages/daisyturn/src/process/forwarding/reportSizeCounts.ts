import { type Clock, EventKind, type EventLog } from "daisyturn-utils";
import type { SizeCount, SizeCounts } from "./createSizeCounts.js";

/** What {@link reportSizeCounts} needs. */
export interface ReportSizeCountsOptions {
    readonly sizeCounts: SizeCounts;
    readonly clock: Clock;
    readonly eventLog: EventLog;
}

/** Interval between two reports. A killed process loses its counts since the last report. */
const reportIntervalMilliseconds = 2_000;

/** Logs a line for each route whose prompts have ended since the last report, until the signal is aborted. */
export async function reportSizeCounts(options: ReportSizeCountsOptions, signal: AbortSignal): Promise<void> {
    const { sizeCounts, clock, eventLog } = options;
    while (!signal.aborted) {
        await clock.sleepUntil(clock.monotonicNow() + reportIntervalMilliseconds, signal);
        groupByRoute(sizeCounts.drain()).forEach((counts, route) => {
            eventLog.record(EventKind.PromptsBySize, { route, sizes: counts.map(formatCount).join(",") });
        });
    }
}

/** Formats a count as `leastSize:served/ended`. */
function formatCount({ leastSize, served, ended }: SizeCount): string {
    return `${leastSize}:${served}/${ended}`;
}

function groupByRoute(counts: readonly SizeCount[]): ReadonlyMap<string, readonly SizeCount[]> {
    const groups = new Map<string, SizeCount[]>();
    for (const count of counts) {
        const group = groups.get(count.route) ?? [];
        group.push(count);
        groups.set(count.route, group);
    }
    return groups;
}

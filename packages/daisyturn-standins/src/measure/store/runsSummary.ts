/** Summary of several runs of the same measurement. */
export interface RunsSummary {
    readonly median: number;
    readonly least: number;
    readonly most: number;
}

/** Computes the median, minimum and maximum of several runs. */
export function summarizeRuns(figures: readonly number[]): RunsSummary {
    const sorted = [...figures].sort((left, right) => left - right);
    const median = sorted[Math.floor(sorted.length / 2)] ?? Number.NaN;
    return { median, least: sorted[0] ?? Number.NaN, most: sorted.at(-1) ?? Number.NaN };
}

/** Returns the quantile of unsorted values; `part` is between 0 and 1. */
export function quantile(figures: readonly number[], part: number): number {
    const sorted = [...figures].sort((left, right) => left - right);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))] ?? Number.NaN;
}

/** Formats a summary as one line: `name  median (least to most) unit`. */
export function formatSummary(name: string, unit: string, figures: readonly number[], digits = 1): string {
    const { median, least, most } = summarizeRuns(figures);
    const format = (figure: number) => figure.toFixed(digits);
    return `${name.padEnd(58)} ${format(median).padStart(9)} (${format(least)} to ${format(most)}) ${unit}`;
}

/** Median and range of several runs. */
export interface Summary {
    readonly least: number;
    readonly median: number;
    readonly most: number;
}

/** Computes the minimum, median and maximum of unsorted values. */
export function summarise(figures: readonly number[]): Summary {
    const sorted = [...figures].sort((left, right) => left - right);
    return { least: sorted[0]!, median: percentile(sorted, 0.5), most: sorted.at(-1)! };
}

/** Returns a percentile (nearest rank); `sorted` must be in ascending order, `fraction` is between 0 and 1. */
export function percentile(sorted: readonly number[], fraction: number): number {
    return sorted[Math.min(sorted.length - 1, Math.ceil(fraction * sorted.length) - 1)] ?? NaN;
}

/** Formats a summary as the median followed by the minimum and maximum in brackets. */
export function formatSummary(summary: Summary, digits = 0): string {
    const { least, median, most } = summary;
    return `${median.toFixed(digits)} (${least.toFixed(digits)} to ${most.toFixed(digits)})`;
}

/** Formats a table; each column is as wide as its widest cell. */
export function formatTable(head: readonly string[], rows: readonly (readonly string[])[]): string {
    const lines = [head, ...rows];
    const widths = head.map((...[, column]) => Math.max(...lines.map(line => (line[column] ?? "").length)));
    return lines
        .map(line => line.map((...[cell, column]) => cell.padEnd(widths[column] ?? 0)).join("  ").trimEnd())
        .map(line => `${line}\n`)
        .join("");
}

/** Formats a wall-clock time in ISO 8601; an empty text for undefined. */
export function formatTime(milliseconds: number | undefined): string {
    return milliseconds === undefined ? "" : new Date(milliseconds).toISOString();
}

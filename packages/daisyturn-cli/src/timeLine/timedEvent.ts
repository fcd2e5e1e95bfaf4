/** One event of one process, read from a log line. */
export interface TimedEvent {
    /** Hybrid logical time stamp; sorts as text. */
    readonly stamp: string;
    /** Wall-clock time in milliseconds, taken from the stamp. */
    readonly at: number;
    readonly kind: string;
    readonly process: string;
    readonly incarnation: string;
    /** All other fields of the line. */
    readonly fields: Readonly<Record<string, string>>;
    /** File that it was read from. */
    readonly source: string;
    /** Counted from 1. */
    readonly line: number;
}

/** A line that is no event. */
export interface LineProblem {
    readonly source: string;
    /** Counted from 1. */
    readonly line: number;
    readonly problem: string;
}

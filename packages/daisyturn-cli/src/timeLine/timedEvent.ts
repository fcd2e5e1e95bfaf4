/** An event of a process, parsed from a log line. */
export interface TimedEvent {
    /** Hybrid logical timestamp; its order as text is the causal order. */
    readonly stamp: string;
    /** Wall-clock time in milliseconds, from the stamp. */
    readonly at: number;
    readonly kind: string;
    readonly process: string;
    readonly incarnation: string;
    /** All other fields of the line. */
    readonly fields: Readonly<Record<string, string>>;
    /** Name of the log file. */
    readonly source: string;
    /** Counted from 1. */
    readonly line: number;
}

/** A problem of a log line: it is not an event, or it is out of order. */
export interface LineProblem {
    readonly source: string;
    /** Counted from 1. */
    readonly line: number;
    readonly problem: string;
}

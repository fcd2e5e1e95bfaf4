/** How a call ended, for counters; few values, so that labels stay few. */
export enum CallOutcome {
    OnTime = "on_time",
    /** The answer began too late. */
    Late = "late",
    /** The answer began on time, but paused for longer than its route allows. */
    Paused = "paused",
    /** The target's own error was passed on. */
    TargetError = "target_error",
    Refused = "refused",
    Failed = "failed",
    /** The answer was broken off after it had begun. */
    BrokenOff = "broken_off",
    /** The caller left first. */
    Cancelled = "cancelled",
}

/** Counts calls. Where the counts go is for whoever embeds the library to say. */
export abstract class ForwardingMetrics {
    /**
     * @param milliseconds from the call's arrival to the first byte of its answer
     * @param longestPause milliseconds between two events of its answer; 0 where it had fewer
     */
    abstract recordCall(kind: string, outcome: CallOutcome, milliseconds: number, longestPause: number): void;
    /** Notes one send to a target by its result: `answered`, or the reason of its failure. */
    abstract recordSend(result: string): void;
}

/** Counts nothing. */
export class NoForwardingMetrics extends ForwardingMetrics {
    override recordCall(): void {}
    override recordSend(): void {}
}

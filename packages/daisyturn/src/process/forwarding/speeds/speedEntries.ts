/** The last report of a target, as one process sends it to another. */
export interface SentReport {
    readonly targetId: string;
    /** The reported figure; undefined if there is none or it is not believed. */
    readonly figure?: number;
    /** Calls that run or wait there; undefined if not known. */
    readonly calls?: number;
    /** Milliseconds since the target reported these. */
    readonly age: number;
}

/** What a process has learned of a target since its last load message. */
export interface SpeedSample extends SentReport {
    /** Calls whose durations were measured; may be 0. */
    readonly measuredCalls: number;
    /** Mean milliseconds of work, and the same divided by the reported figures. */
    readonly mean: number;
    readonly usualMean: number;
}

/** What a coordinator knows of a target. */
export interface SpeedEstimate extends SentReport {
    /** Mean milliseconds of work of a call, without the reported figure. */
    readonly usual: number;
    /** How long calls have taken in the last second relative to this. */
    readonly recent: number;
    /** Mean of the reported figures, or 1. */
    readonly usualFigure: number;
    /** Number of measured calls that the duration stands for. */
    readonly weight: number;
}

/** What an engine does of a request. */
export enum EngineStage {
    Prefill = "prefill",
    Decode = "decode",
}

/** A target as the platform's list has it. */
export interface ListedTarget {
    /**
     * Unique to one start of the target. Whatever is believed of a target is kept under it, so that a target which
     * starts again under its old name is met as a new one.
     */
    readonly targetId: string;
    /** The target's own name, which calls and orders carry and which it may keep over a restart. */
    readonly name: string;
    /** Wall time of its start, in milliseconds; absent where the target does not say. */
    readonly startedAt?: number;
    readonly service: string;
    /** IP number and port. */
    readonly address: string;
    readonly availabilityZone: string;
    readonly slots: number;
    /** The target wants no new work. */
    readonly isLeaving: boolean;
    /** Absent where the target does both, or is no engine. */
    readonly stage?: EngineStage;
}

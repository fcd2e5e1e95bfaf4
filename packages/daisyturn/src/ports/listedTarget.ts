/** What an engine does of a request. */
export enum EngineStage {
    Prefill = "prefill",
    Decode = "decode",
}

/** A target as the platform's list has it. */
export interface ListedTarget {
    /** Unique to one start of the target. */
    readonly targetId: string;
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

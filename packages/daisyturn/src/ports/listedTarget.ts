/** The stage of a request that an engine runs. */
export enum EngineStage {
    Prefill = "prefill",
    Decode = "decode",
}

/** A target in the platform's list. */
export interface ListedTarget {
    /**
     * Unique to one start of the target. All estimates about a target are stored under this id, so that a target that
     * restarts under the same name is treated as a new one.
     */
    readonly targetId: string;
    /** The target's name, which calls and orders carry. It may stay the same after a restart. */
    readonly name: string;
    /** Wall-clock time of the start, in milliseconds; absent if the target does not report it. */
    readonly startedAt?: number;
    readonly service: string;
    /** IP address and port. */
    readonly address: string;
    readonly availabilityZone: string;
    readonly slots: number;
    /** Whether the target is leaving and accepts no new work. */
    readonly isLeaving: boolean;
    /**
     * Version of the target's software; versions have no order. What two versions write does not fit together. Empty if
     * the target does not report one.
     */
    readonly softwareVersion: string;
    /** Absent if the target runs both stages or is not an engine. */
    readonly stage?: EngineStage;
    /** Whether the platform may take the target away at short notice, together with all such targets of its zone. */
    readonly isReclaimable?: boolean;
    /** Time until a leaving target ends, in milliseconds from the writing of its entry; undefined if it does not say. */
    readonly leavesInMilliseconds?: number;
}

/** Begins the version of a target that is not known to be the listed one. Targets can't report such a version. */
export const unconfirmedVersionPrefix = "unconfirmed:";

/** The last entry of a target that is no longer listed. */
export interface TargetRemoval {
    readonly target: ListedTarget;
    /** Whether an entry of the next incarnation under the same name shows that this one has ended. */
    readonly isRestarted: boolean;
}

/** Intervals and limits of membership, in milliseconds. */
export interface MembershipTiming {
    readonly heartbeatInterval: number;
    /** Silence after which a member is suspected and other members are queried. */
    readonly suspectLimit: number;
    /** Silence after which a member is considered dead, unless another member confirms recent contact with it. */
    readonly deadLimit: number;
    /** How long the confirmation of another member is valid. */
    readonly confirmationValidity: number;
    /** Recoveries within this time count towards the hold-down of a flapping member. */
    readonly recoveryWindow: number;
    /** Number of recoveries within the window without a hold-down. */
    readonly recoveriesWithoutHoldDown: number;
    /** Maximum time for which a flapping member must be stable before it is considered alive. */
    readonly maxHoldDown: number;
    /** How long an ended incarnation is still listed. */
    readonly endedRetention: number;
}

const heartbeatsUntilSuspect = 3;
const heartbeatsUntilDead = 6;
const recoveryWindowMilliseconds = 300_000;
const maxHoldDownMilliseconds = 30_000;
const endedRetentionMilliseconds = 600_000;

export function createMembershipTiming(heartbeatIntervalMilliseconds: number): MembershipTiming {
    return {
        heartbeatInterval: heartbeatIntervalMilliseconds,
        suspectLimit: heartbeatsUntilSuspect * heartbeatIntervalMilliseconds,
        deadLimit: heartbeatsUntilDead * heartbeatIntervalMilliseconds,
        confirmationValidity: heartbeatsUntilSuspect * heartbeatIntervalMilliseconds,
        recoveryWindow: recoveryWindowMilliseconds,
        recoveriesWithoutHoldDown: 2,
        maxHoldDown: maxHoldDownMilliseconds,
        endedRetention: endedRetentionMilliseconds,
    };
}

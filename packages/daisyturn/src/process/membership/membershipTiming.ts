/** Lengths of time that membership works with, in milliseconds, all derived from the heartbeat interval. */
export interface MembershipTiming {
    readonly heartbeatInterval: number;
    /** Silence after which others are asked. */
    readonly suspectLimit: number;
    /** Silence after which a member that nobody vouches for counts as dead. */
    readonly deadLimit: number;
    /** How long a vouching counts. */
    readonly confirmationValidity: number;
    /** Returns within this time count as flapping. */
    readonly recoveryWindow: number;
    /** Returns within the window that cost nothing. */
    readonly recoveriesWithoutHoldDown: number;
    /** Longest time that a flapping member has to be steady. */
    readonly maxHoldDown: number;
    /** How long an ended run is still shown. */
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

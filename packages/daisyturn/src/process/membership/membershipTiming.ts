/** Lengths of time that membership works with, in milliseconds, all derived from the heartbeat interval. */
export interface MembershipTiming {
    readonly heartbeatInterval: number;
    /** Silence after which others are asked. */
    readonly suspectLimit: number;
    /** Silence after which a member that nobody vouches for counts as dead. */
    readonly deadLimit: number;
    /** How long a vouching counts. */
    readonly vouchLimit: number;
    /** Returns within this time count as flapping. */
    readonly flapWindow: number;
    /** Returns within the window that cost nothing. */
    readonly freeRecoveries: number;
    /** Longest time that a flapping member has to be steady. */
    readonly longestHold: number;
    /** How long an ended run is still shown. */
    readonly endedRetention: number;
}

const heartbeatsUntilSuspect = 3;
const heartbeatsUntilDead = 6;
const flapWindowMilliseconds = 300_000;
const longestHoldMilliseconds = 30_000;
const endedRetentionMilliseconds = 600_000;

export function createMembershipTiming(heartbeatIntervalMilliseconds: number): MembershipTiming {
    return {
        heartbeatInterval: heartbeatIntervalMilliseconds,
        suspectLimit: heartbeatsUntilSuspect * heartbeatIntervalMilliseconds,
        deadLimit: heartbeatsUntilDead * heartbeatIntervalMilliseconds,
        vouchLimit: heartbeatsUntilSuspect * heartbeatIntervalMilliseconds,
        flapWindow: flapWindowMilliseconds,
        freeRecoveries: 2,
        longestHold: longestHoldMilliseconds,
        endedRetention: endedRetentionMilliseconds,
    };
}

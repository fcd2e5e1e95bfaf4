/** One piece of evidence: a target ended while it ran a request. */
export interface CrashRecord {
    /** Identifies a suspect: a request, the same for all its attempts, or a part of prompts. */
    readonly fingerprint: string;
    /** Identifies one incarnation of the target. */
    readonly targetId: string;
    /** Milliseconds since the target had ended. */
    readonly age: number;
    /** Milliseconds by which it may have ended earlier. */
    readonly uncertainty: number;
    /**
     * How many targets had failed the same attempt by then, with this one. An attempt runs at one target after the
     * other, so those ends are not simultaneous, however close they are.
     */
    readonly chain: number;
    /** Whether a request with the suspect has been answered since, which shows that it does not end its targets. */
    readonly isRefuted: boolean;
    /** Position of a part in its prompt, from 0, or `requestDepth`. A deeper suspect is common to fewer requests. */
    readonly depth: number;
    /** Whether requests with the suspect were answered in the time before the end. */
    readonly wasAnswered: boolean;
    /** Milliseconds since the end or, if that is later, since a request was refused because of the suspect. */
    readonly idle: number;
}

/** A request is more specific than any part of it. */
export const requestDepth = 1_000;
/** After this time without requests, a suspect may run again: its callers or the targets may have been repaired. */
export const evidenceLifetimeMilliseconds = 600_000;

/** A record as one process keeps it. Its time is the latest at which the target may have ended. */
export interface KnownRecord
    extends Pick<CrashRecord, "uncertainty" | "chain" | "isRefuted" | "depth" | "wasAnswered"> {
    /** Monotonic times. */
    readonly endedAt: number;
    readonly lastSeenAt: number;
}

/**
 * Joins two records of one end. Each says when the target had ended, and from when on it may have; the target ended
 * within both times.
 */
export function mergeRecords(known: KnownRecord, other: KnownRecord): KnownRecord {
    const earliest = Math.max(known.endedAt - known.uncertainty, other.endedAt - other.uncertainty);
    const endedAt = Math.max(earliest, Math.min(known.endedAt, other.endedAt));
    return {
        endedAt,
        uncertainty: endedAt - earliest,
        chain: Math.max(known.chain, other.chain),
        isRefuted: known.isRefuted || other.isRefuted,
        depth: Math.max(known.depth, other.depth),
        wasAnswered: known.wasAnswered || other.wasAnswered,
        lastSeenAt: Math.max(known.lastSeenAt, other.lastSeenAt),
    };
}

import type { Arrival } from "./limits/createArrivalCounts.js";

/** How a call ended. Used as a metric label, so the number of values is kept small. */
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
    /** The answer ended early after it had begun. */
    BrokenOff = "broken_off",
    /** The caller left first. */
    Cancelled = "cancelled",
}

/** Kinds of parties whose bytes this process reads. Used as a metric label. */
export enum ByteSource {
    Caller = "caller",
    Target = "target",
    Store = "store",
    Peer = "peer",
    Operator = "operator",
}

/** Counts calls. The application that embeds the library decides where the counts are published. */
export abstract class ForwardingMetrics {
    /**
     * @param milliseconds from the call's arrival to the first byte of its answer
     * @param longestPause milliseconds between two events of its answer; 0 where it had fewer
     */
    abstract recordCall(kind: string, outcome: CallOutcome, milliseconds: number, longestPause: number): void;
    /** Records how a call of a client account ended; undefined if it has none. */
    abstract recordAccountCall(account: string | undefined, outcome: CallOutcome): void;
    /** Records one send to a target by its result: `answered`, or the reason for its failure. */
    abstract recordSend(result: string): void;
    /** Records one send that was given up, by how much of it was sent and why. */
    abstract recordAbandonedSend(progress: string, reason: string): void;
    /** Records one connection that the listener refused itself: the status, or `closed` if it sent none. */
    abstract recordUnreadable(status: string): void;
    /** Records one connection or answer to which a limit on what this process reads applies. */
    abstract recordReadLimit(source: ByteSource, limit: string): void;
    /** Records one call of a caller for a service. */
    abstract recordRequest(service: string): void;
    abstract recordArrival(arrival: Arrival): void;
    /** Records one retry that the retry budget of the fleet allowed or denied. */
    abstract recordRetry(service: string, isAcquired: boolean): void;
    /** Records one send over a connection that a peer carries. */
    abstract recordRelayedSend(): void;
    /** Records one call that resumes a stream: `placed`, or the reason why no target may continue the stream. */
    abstract recordResumption(result: string): void;
    /** Records one request for a token of a limit that a target names, by its result. */
    abstract recordToken(result: string): void;
    /** Records one call that waited for a target with room, by how the wait ended. */
    abstract recordQueued(result: string): void;
}

/** Discards all counts. */
export class NoForwardingMetrics extends ForwardingMetrics {
    override recordCall(): void {}
    override recordAccountCall(): void {}
    override recordSend(): void {}
    override recordAbandonedSend(): void {}
    override recordUnreadable(): void {}
    override recordReadLimit(): void {}
    override recordRequest(): void {}
    override recordArrival(): void {}
    override recordRetry(): void {}
    override recordRelayedSend(): void {}
    override recordResumption(): void {}
    override recordToken(): void {}
    override recordQueued(): void {}
}

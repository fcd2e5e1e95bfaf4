import type { MemberState } from "daisyturn";

/** A measured process's view of another member. */
export interface ReportedMember {
    readonly processId: string;
    readonly state: MemberState;
}

/** Report of a measured process. */
export interface PeerReport {
    readonly members: readonly ReportedMember[];
    readonly isInService: boolean;
    /** Distinct states that other members falsely assigned to this process. */
    readonly misjudgements: readonly string[];
    /** Number of events in the event log, by kind. */
    readonly eventCounts: Readonly<Record<string, number>>;
    readonly cpuMilliseconds: number;
    readonly messagesSent: number;
    readonly bytesSent: number;
    /** Heap in use after a garbage collection. */
    readonly heapBytes: number;
    readonly residentBytes: number;
}

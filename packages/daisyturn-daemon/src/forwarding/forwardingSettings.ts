import type { ListenAddress, Mechanism, RetryAllowance } from "daisyturn/forwarding";

/** How a process chooses targets. */
export enum PlacementPolicy {
    /** By estimated time over all placements; see `createCallPlacement`. */
    Estimated = "estimated",
    /** By the number of running calls only: the baseline in measurements of the other policy. */
    LeastRunning = "least-running",
}

/** Duties that one process has for the whole fleet. */
export interface DutySettings {
    /** Usage of client accounts is reported by window; undefined if it is not reported. */
    readonly usage?: {
        readonly windowMilliseconds: number;
        /** Time from the end of a window until its report is due. */
        readonly dueMilliseconds: number;
    };
    /**
     * Whether the platform rejects calls with a lower fencing number than it has seen. Otherwise only the holder's lease
     * keeps two processes from acting.
     */
    readonly checksFences: boolean;
    /** Whether engines are ordered and given back. */
    readonly isScaling: boolean;
    /** Calls that the platform accepts from all processes together. */
    readonly callsPerSecond: number;
    /** Time after a suspension or a lost link before which no call is made. */
    readonly thawMilliseconds: number;
}

/** What a process does with the keys of client accounts while it can't learn of changes. */
export interface RevocationSettings {
    /** Time within which a revoked key must be refused also by a process that is cut off from the store. */
    readonly milliseconds: number;
    /** Whether calls with a key are refused once the keys have not been confirmed for that time. */
    readonly isClosed: boolean;
}

/** Settings of a process that forwards calls: its identity and addresses, and time limits of the fleet. */
export interface ForwardingSettings {
    readonly processId: string;
    readonly availabilityZone: string;
    readonly callers: ListenAddress;
    /** Address of the balancer's readiness probe. */
    readonly readiness: ListenAddress;
    /** Address to which the other processes of the fleet send datagrams. */
    readonly peers: ListenAddress;
    /** Address at which metrics are served; none are served if absent. */
    readonly metrics?: ListenAddress;
    /** `Estimated` if absent. */
    readonly placement?: PlacementPolicy;
    /** Mechanisms of the decisions that an experiment disables; none if absent. */
    readonly switchedOff?: ReadonlySet<Mechanism>;
    /** One in this many calls answered on time is logged; 64 if absent. 1 logs every call, for measurements. */
    readonly sampledCalls?: number;
    /** File for log lines; standard output if absent. */
    readonly logFile?: string;
    /** Time after a failure of its network links within which a process must be up to date again. */
    readonly contactMilliseconds: number;
    /** Time from the store's acknowledgement of a configuration until it must be active. */
    readonly configurationMilliseconds: number;
    /** Processor time available to this process, in cores. Processes with more of it are preferred as coordinators. */
    readonly strength: number;
    /** Time from the moment a target's entry says that it is leaving until no new work may reach it. */
    readonly drainMilliseconds: number;
    /** Time from the request to stop until the process is killed. */
    readonly graceMilliseconds: number;
    readonly retries: RetryAllowance;
    /** Time for which a lease excludes other claimants. */
    readonly leaseMilliseconds: number;
    /** Absent if the platform asks for none. */
    readonly duties?: DutySettings;
    /** Absent if the deployment has no client accounts. */
    readonly revocation?: RevocationSettings;
}

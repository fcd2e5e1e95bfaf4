import type { ListenAddress, Mechanism, RetryAllowance } from "daisyturn/forwarding";

/** How a process chooses targets. */
export enum PlacementPolicy {
    /** By estimated time over all ways; see `createCallPlacement`. */
    Estimated = "estimated",
    /** By running calls alone: what the other one is measured against. */
    LeastRunning = "least-running",
}

/** What a process that forwards calls is told of its place and of the fleet's bounds. Times are in milliseconds. */
export interface ForwardingSettings {
    readonly processId: string;
    readonly availabilityZone: string;
    readonly callers: ListenAddress;
    /** Where the balancer asks whether the process takes requests. */
    readonly readiness: ListenAddress;
    /** Where the other processes of the fleet send datagrams. */
    readonly peers: ListenAddress;
    /** Where counters are served as text; nowhere if absent. */
    readonly metrics?: ListenAddress;
    /** How targets are chosen; estimated if absent. */
    readonly placement?: PlacementPolicy;
    /** Mechanisms of the decisions that an experiment takes out; none if absent. */
    readonly switchedOff?: ReadonlySet<Mechanism>;
    /** Every so many-th call that was answered on time is logged; 64 if absent. 1 logs every call, for measurements. */
    readonly sampledCalls?: number;
    /** Where log lines go; standard output if absent. */
    readonly logFile?: string;
    /** How long after a disturbance of its links a process must be up to date again. */
    readonly contactMilliseconds: number;
    /** From the store's acknowledgement of a configuration until it must be in force. */
    readonly configurationMilliseconds: number;
    /** Share of processor time that this process has, in cores: processes with more of it answer for the others. */
    readonly strength: number;
    /** From the entry of a target that it is leaving until no new work may reach it. */
    readonly drainMilliseconds: number;
    /** From the request to stop until the process is killed. */
    readonly graceMilliseconds: number;
    readonly retries: RetryAllowance;
    /** How long a lease holds off other claimants. */
    readonly leaseMilliseconds: number;
}

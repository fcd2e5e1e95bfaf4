/** Authority under which one process of the fleet makes a call: its name, and its lease's fencing number. */
export interface DutyAuthority {
    readonly holder: string;
    /** Greater than that of every earlier holder. */
    readonly fencingNumber: number;
    /** Checked again right before the first byte is sent, since opening a connection takes time; always true if absent. */
    readonly isUsable?: () => boolean;
}

/** Requests that began to run in one window of time, by client account. */
export interface UsageReport {
    /** Window k begins k window lengths after the start of 1970. */
    readonly window: number;
    readonly counts: ReadonlyMap<string, number>;
}

/** The number of engines of one kind that a service should have in an availability zone. */
export interface EngineOrder {
    readonly service: string;
    readonly availabilityZone: string;
    readonly desired: number;
    /** Whether the number is that of the engines that may be reclaimed. */
    readonly isReclaimable: boolean;
}

/** Outcome of a call that the platform accepts from one process of the fleet at a time. */
export enum DutyAnswer {
    Accepted = "accepted",
    /** The platform has seen a higher fencing number, or has no such engines at the moment. Nothing was done. */
    Rejected = "rejected",
    /** The fleet makes more calls a second than the platform takes. Nothing was done. */
    Throttled = "throttled",
    /** No answer. The call may be carried out, now or seconds later. */
    Unknown = "unknown",
}

/** Calls to the platform that are made by one process for the whole fleet. Adapters implement the protocol. */
export abstract class FleetDuties {
    /** @param deadline monotonic time at which a call without an answer is aborted and its connection reset */
    abstract reportUsage(report: UsageReport, authority: DutyAuthority, deadline: number): Promise<DutyAnswer>;
    abstract orderEngines(order: EngineOrder, authority: DutyAuthority, deadline: number): Promise<DutyAnswer>;
    abstract close(): Promise<void>;
}

import type { Failure } from "daisyturn-utils";
import type { Result } from "true-myth/result";

/** State of a VM according to the platform. A VM that is not listed has been removed. */
export enum VmState {
    Live = "live",
    Leaving = "leaving",
}

/** One entry of the platform's list. */
export interface VmEntry {
    readonly vmId: string;
    /** IP address, or IP address and port if several processes share a machine (in tests). */
    readonly address: string;
    readonly availabilityZone: string;
    readonly state: VmState;
}

/** The list as read at one time. */
export interface VmListing {
    /** Wall-clock time, in milliseconds, of the listed state according to the platform. It lags behind. */
    readonly asOf: number;
    readonly entries: readonly VmEntry[];
}

/** The platform's list of live and leaving VMs. It lags behind the actual state. */
export abstract class VmList {
    abstract list(deadline: number): Promise<Result<VmListing, Failure>>;
}

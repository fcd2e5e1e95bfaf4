import type { Failure } from "daisyturn-utils";
import type { Result } from "true-myth/result";

/** What the platform says of a VM. A VM that is not listed is gone. */
export enum VmState {
    Live = "live",
    Leaving = "leaving",
}

/** One row of the platform's list. */
export interface VmEntry {
    readonly vmId: string;
    /** IP number, or IP number and port where several processes share a machine (tests). */
    readonly address: string;
    readonly availabilityZone: string;
    readonly state: VmState;
}

/** One reading of the list. */
export interface VmListing {
    /** Wall-clock time, in milliseconds, whose state the platform says this is; it lags. */
    readonly asOf: number;
    readonly entries: readonly VmEntry[];
}

/** The platform's lagging list of live and leaving VMs. */
export abstract class VmList {
    abstract list(deadline: number): Promise<Result<VmListing, Failure>>;
}

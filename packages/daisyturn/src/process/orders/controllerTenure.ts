import type { Lease } from "../lease/index.js";

/** One holding of the controller lease, as the tasks under it see it. */
export interface ControllerTenure {
    readonly lease: Lease;
    /** Aborted when the holding ends, so that waits end too. */
    readonly signal: AbortSignal;
    /** To be asked after every wait. */
    isOver(): boolean;
}

/** Creates the view of a lease that ends with `signal` or with the lease. */
export function createControllerTenure(lease: Lease, signal: AbortSignal): ControllerTenure {
    return { lease, signal, isOver: () => signal.aborted || !lease.isHeld() };
}

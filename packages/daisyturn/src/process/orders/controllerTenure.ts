import type { Lease } from "../lease/index.js";

/** A period during which this process holds the controller lease. */
export interface ControllerTenure {
    readonly lease: Lease;
    /** Aborted when the tenure ends, to end pending waits. */
    readonly signal: AbortSignal;
    /** Must be checked after every wait. */
    isOver(): boolean;
}

/** Creates a tenure that ends with `signal` or with the lease. */
export function createControllerTenure(lease: Lease, signal: AbortSignal): ControllerTenure {
    return { lease, signal, isOver: () => signal.aborted || !lease.isHeld() };
}

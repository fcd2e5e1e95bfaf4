/** Right to act for the cell, held by one process at a time. */
export interface Lease {
    readonly name: string;
    /** Greater than that of every earlier holder. */
    readonly fencingNumber: number;
    /** Monotonic time after which this process must not act, less the margin. */
    deadline(): number;
    /** Whether the deadline lies ahead; to be asked right before each act. */
    isHeld(): boolean;
    /** Version of the row that changes only when the holder changes; a condition of every write made under the lease. */
    readonly fencingRow: { readonly key: string; readonly version: number; };
}

/** Takes, renews and gives back one lease. */
export interface LeaseManager {
    /** The lease if this process holds it now. */
    current(): Lease | undefined;
    /** Competes for the lease and renews it until `signal` is aborted, then releases it. */
    run(signal: AbortSignal): Promise<void>;
    onAcquired(listener: (lease: Lease) => void): void;
    onLost(listener: (lease: Lease) => void): void;
    /**
     * Registers what must end before the lease is given back on stopping: a release is taken by the next holder as
     * proof that nothing more is sent under this one. `onLost` has been called before.
     */
    beforeRelease(task: () => Promise<void>): void;
}

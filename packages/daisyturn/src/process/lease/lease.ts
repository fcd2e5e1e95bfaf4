/** Exclusive right to act for the cell; at most one process holds it at a time. */
export interface Lease {
    readonly name: string;
    /** Greater than the fencing number of every earlier holder. */
    readonly fencingNumber: number;
    /** Monotonic time from which this process must not act; the safety margin is already subtracted. */
    deadline(): number;
    /** Returns whether the lease is still held. Must be called right before each action under the lease. */
    isHeld(): boolean;
    /** Version of the row that changes only on takeover and release; a condition of every write under the lease. */
    readonly fencingRow: { readonly key: string; readonly version: number; };
}

/** Who has a lease, as its rows say. */
export enum LeaseState {
    /** This process held the lease when it last ended, and nobody has held it since. */
    Interrupted = "interrupted",
    /**
     * The store has eras and no row of the current one, so the first to acquire the lease must wait for its whole length.
     */
    NotInEra = "not_in_era",
    /** The lease is free, or another process has it. */
    Other = "other",
}

/** Acquires, renews and releases one lease. */
export interface LeaseManager {
    /** Returns the lease if this process holds it. */
    current(): Lease | undefined;
    /** Reads who has the lease; undefined if the store did not answer. */
    inspect(): Promise<LeaseState | undefined>;
    /** Tries to acquire the lease and renews it until `signal` is aborted, then releases it. */
    run(signal: AbortSignal): Promise<void>;
    onAcquired(listener: (lease: Lease) => void): void;
    onLost(listener: (lease: Lease) => void): void;
    /**
     * Registers a task that must complete before the lease is released on shutdown: the next holder relies on the
     * release as proof that nothing more is sent under this lease. The `onLost` listeners are called before the tasks.
     */
    beforeRelease(task: () => Promise<void>): void;
}

/** Time limits, intervals and counts. Operators configure them in the daemon. */
export interface ConfigurationTiming {
    /** Limit for all attempts to commit one change. */
    readonly publishMilliseconds: number;
    /** Limit for the peers to confirm a change. A peer that has not received it by then gets it by anti-entropy. */
    readonly confirmMilliseconds: number;
    readonly peerCallMilliseconds: number;
    readonly storeCallMilliseconds: number;
    /** Limit for reading all items from the store. */
    readonly itemsMilliseconds: number;
    /** Mean interval between two pulls from a random peer. */
    readonly pullIntervalMilliseconds: number;
    /** Mean interval of a process's reads of the store's head, before multiplication by the size of the cell. */
    readonly headIntervalMilliseconds: number;
    readonly adoptRetryMilliseconds: number;
    /** Upper bound of the random wait before a change that conflicted with another one is tried again. */
    readonly raceBackoffMilliseconds: number;
    /** Number of changes retained in the store, with their write ids. */
    readonly retainedChanges: number;
}

/** Defaults for a cell of nine processes. */
export const defaultConfigurationTiming: ConfigurationTiming = {
    publishMilliseconds: 5_000,
    confirmMilliseconds: 1_000,
    peerCallMilliseconds: 1_000,
    storeCallMilliseconds: 2_000,
    itemsMilliseconds: 30_000,
    pullIntervalMilliseconds: 1_000,
    headIntervalMilliseconds: 1_000,
    adoptRetryMilliseconds: 250,
    raceBackoffMilliseconds: 20,
    retainedChanges: 20_000,
};

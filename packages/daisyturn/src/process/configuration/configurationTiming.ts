/** Lengths of time and counts, set by the operators of the daemon. */
export interface ConfigurationTiming {
    /** For all tries of one change against the store. */
    readonly publishMilliseconds: number;
    /** For the peers to confirm; whoever is later gets the change by anti-entropy. */
    readonly confirmMilliseconds: number;
    readonly peerCallMilliseconds: number;
    readonly storeCallMilliseconds: number;
    /** For reading all items from the store. */
    readonly itemsMilliseconds: number;
    /** Between two pulls from a random peer. */
    readonly pullIntervalMilliseconds: number;
    /** Between two looks at the store's head by one process, times the number of processes in the cell. */
    readonly headIntervalMilliseconds: number;
    readonly adoptRetryMilliseconds: number;
    /** Longest wait before a change that lost a race is tried again. */
    readonly raceBackoffMilliseconds: number;
    /** Changes kept in the store, with their write ids. */
    readonly retainedChanges: number;
}

/** Timing that suits a cell of nine processes. */
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

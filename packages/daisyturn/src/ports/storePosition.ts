/**
 * A point in the store's history. The era increases each time the store is restored from an older snapshot. Versions are
 * reused after a restore, so versions of different eras must not be compared.
 */
export interface StorePosition {
    /** 0 if the store does not report one. */
    readonly era: number;
    readonly version: number;
}

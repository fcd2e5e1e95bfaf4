/**
 * A point in the store's history. The era rises each time the store comes back from an older copy; versions are then given
 * out again, so that those of different eras can't be compared.
 */
export interface StorePosition {
    /** 0 where the store tells none. */
    readonly era: number;
    readonly version: number;
}

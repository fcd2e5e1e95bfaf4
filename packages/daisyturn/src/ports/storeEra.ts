/** Tracks the latest era of the store that this process has seen in an answer. */
export interface StoreEraTracker {
    /** Returns 0 before the first answer and for a store without eras. */
    current(): number;
    /** Records the era of an answer. A lower one belongs to a delayed answer and is ignored. */
    observe(era: number): void;
}

/** Creates a tracker that starts at era 0. */
export function createStoreEraTracker(): StoreEraTracker {
    let latest = 0;
    return {
        current: () => latest,
        observe: era => {
            latest = Math.max(latest, era);
        },
    };
}

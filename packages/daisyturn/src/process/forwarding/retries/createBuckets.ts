/** Amounts by time, in buckets of equal length. Buckets are numbered on the monotonic clock. */
export interface Buckets {
    /** Returns the number of the bucket that holds a monotonic time. */
    indexOf(at: number): number;
    add(index: number, amount: number): void;
    /** Returns the amount in a bucket, or 0 if it is older than all that are kept. */
    get(index: number): number;
}

/**
 * Creates empty buckets.
 * @param length of a bucket, in milliseconds
 * @param count of the buckets that are kept, up to the latest one that was added to
 */
export function createBuckets(length: number, count: number): Buckets {
    const amounts = new Float64Array(count);
    const indexes = new Float64Array(count).fill(-Infinity);
    const slotOf = (index: number) => ((index % count) + count) % count;
    return {
        indexOf: at => Math.floor(at / length),
        add: (index, amount) => {
            const slot = slotOf(index);
            if (indexes[slot] !== index) {
                indexes[slot] = index;
                amounts[slot] = 0;
            }
            amounts[slot] = (amounts[slot] ?? 0) + amount;
        },
        get: index => {
            const slot = slotOf(index);
            return indexes[slot] === index ? amounts[slot] ?? 0 : 0;
        },
    };
}

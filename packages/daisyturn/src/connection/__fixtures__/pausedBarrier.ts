import type { ReadBarrier } from "../createReadBarrier.js";

/** A barrier whose last read is long ago after a pause, until the next read, which learns what has arrived. */
export function createPausedBarrier(onRead: () => void): ReadBarrier & { pause(): void; } {
    let isRead = true;
    const read = async () => {
        await new Promise(resolve => setImmediate(resolve));
        isRead = true;
        onRead();
    };
    return {
        isPassed: () => isRead,
        nextRead: read,
        pause: () => {
            isRead = false;
        },
    };
}

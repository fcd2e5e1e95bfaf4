import { performance } from "node:perf_hooks";

/** Time that a process has taken to read datagrams that it dropped. */
export interface DroppedTime {
    /** Records that a datagram has been dropped just now. */
    record(): void;
    /** Milliseconds since the start. */
    milliseconds(): number;
}

/** Node.js emits up to 32 datagrams one after another. A longer time between two of them has passed with other work. */
const maxGapMilliseconds = 0.2;

/**
 * Creates the account of one socket. The event loop handles all other events between two batches of datagrams, so calls are
 * served beside a flood of them, and the time that it takes must not count as the process's load.
 */
export function createDroppedTime(now = () => performance.now()): DroppedTime {
    let lastAt = -Infinity;
    let milliseconds = 0;
    return {
        record: () => {
            const at = now();
            milliseconds += at - lastAt <= maxGapMilliseconds ? at - lastAt : 0;
            lastAt = at;
        },
        milliseconds: () => milliseconds,
    };
}

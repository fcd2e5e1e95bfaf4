import type { Clock } from "daisyturn-utils";

/** Distributes the time of the event loop among the connections that take much of it. */
export interface TimeShares {
    /**
     * Calls `read` in a turn of its own, after the connections that wait already.
     * @param read reads for a limited time and returns the milliseconds that it has taken
     */
    request(read: () => number): void;
}

/**
 * Fraction of the process's time that these connections take together. The rest is for the work that their requests
 * cause, and for the other connections.
 */
const processShare = 0.25;

/** Creates the turns of one process. */
export function createTimeShares(clock: Clock): TimeShares {
    const waiting: (() => number)[] = [];
    let isRunning = false;

    const run = async () => {
        try {
            for (let read = waiting.shift(); read; read = waiting.shift()) {
                const taken = read();
                // A connection that has been closed takes no time.
                if (taken > 0) {
                    await clock.sleepUntil(clock.monotonicNow() + taken / processShare - taken);
                }
            }
        }
        finally {
            isRunning = false;
            // An exception of one connection must not stop the others.
            start();
        }
    };
    const start = () => {
        if (!isRunning && waiting.length > 0) {
            // A turn never runs within the call that requests it.
            isRunning = true;
            setImmediate(() => void run());
        }
    };

    return {
        request: read => {
            waiting.push(read);
            start();
        },
    };
}

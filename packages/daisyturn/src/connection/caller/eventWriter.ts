import type { ServerResponse } from "node:http";
import type { EventWriter } from "../../request/callerExchange.js";
import type { CallerLimits } from "./callerServerOptions.js";

/**
 * Creates the writer of an event stream. Each event is written separately, so that the caller receives each token as it
 * is generated. Buffer and time are limited for a caller that reads slowly, so that it can't occupy the process's
 * memory or the engine indefinitely.
 */
export function createEventWriter(outgoing: ServerResponse, limits: CallerLimits): EventWriter {
    return {
        write: event => {
            outgoing.write(event);
            return outgoing.writableLength > limits.maxBufferedBytes ? waitForDrain(outgoing, limits) : undefined;
        },
        end: () => {
            outgoing.end();
            limitFlushTime(outgoing, limits);
        },
    };
}

/** Waits until a slow caller has read the buffered bytes. Closes the connection if that takes too long. */
function waitForDrain(outgoing: ServerResponse, limits: CallerLimits): Promise<void> {
    return new Promise(resolve => {
        const timer = setTimeout(() => outgoing.destroy(), limits.slowReaderMilliseconds);
        const finish = () => {
            clearTimeout(timer);
            outgoing.off("drain", finish).off("close", finish);
            resolve();
        };
        outgoing.on("drain", finish).on("close", finish);
    });
}

/** Closes the connection of a caller that does not read the rest of a completed answer in time. */
function limitFlushTime(outgoing: ServerResponse, limits: CallerLimits): void {
    if (outgoing.writableFinished || outgoing.destroyed) {
        return;
    }
    const timer = setTimeout(() => outgoing.destroy(), limits.slowReaderMilliseconds);
    outgoing.once("close", () => clearTimeout(timer));
}

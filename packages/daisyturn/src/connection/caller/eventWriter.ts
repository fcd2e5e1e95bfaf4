import type { ServerResponse } from "node:http";
import type { EventWriter } from "../../request/callerExchange.js";
import type { CallerLimits } from "./callerServerOptions.js";

/**
 * Creates the writer of a stream of events. One event is one write: the caller gets each token as it comes. A caller
 * who reads slowly has a bounded buffer and a bounded time, so that it holds neither the process's memory nor the
 * engine for ever.
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

/** Waits until a slow caller has caught up; closes the connection if that takes too long. */
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

/** Closes the connection of a caller who does not read the last of a finished answer. */
function limitFlushTime(outgoing: ServerResponse, limits: CallerLimits): void {
    if (outgoing.writableFinished || outgoing.destroyed) {
        return;
    }
    const timer = setTimeout(() => outgoing.destroy(), limits.slowReaderMilliseconds);
    outgoing.once("close", () => clearTimeout(timer));
}

import { type Failure, FailureReason, notRun } from "daisyturn-utils";
import type { ServerResponse } from "node:http";
import type { HeaderFields } from "../../ports/forwardedCall.js";
import type { CallerConnection } from "../caller/createCallerListener.js";

/** The way back to one caller. */
export interface ForwardExchange {
    /** Aborted once the caller is gone; the reason is a `Failure`. */
    readonly signal: AbortSignal;
    isHeadSent(): boolean;
    /** Monotonic time at which the first byte of the answer was sent; undefined before. */
    firstByteAt(): number | undefined;
    /** Longest time between two pieces of an answer that was begun, in milliseconds. */
    longestPause(): number;
    /** Mean time between two pieces, in milliseconds; undefined where there were fewer. */
    meanPause(): number | undefined;
    /** Sends a whole answer. */
    answer(status: number, fields: HeaderFields, body: Buffer): void;
    /** Begins an answer whose length is not known yet. */
    begin(status: number, fields: HeaderFields): void;
    write(chunk: Buffer): void;
    /** Ends an answer that was begun, as complete. */
    end(): void;
    /** Breaks the answer off, so that it can't be taken for complete. */
    abort(): void;
    /** Resolves once the answer is sent or the caller is gone. */
    readonly closed: Promise<void>;
}

/** Bytes kept for a caller that reads slowly; one that lets more pile up is cut off. */
const maxBufferedBytes = 1024 * 1024;

/** Creates the exchange of one request. */
export function createForwardExchange(
    outgoing: ServerResponse,
    connection: CallerConnection,
    isClosing: () => boolean,
    now: () => number,
): ForwardExchange {
    const cancellation = new AbortController();
    let firstByteAt: number | undefined;
    let lastChunkAt: number | undefined;
    let longestPause = 0;
    let firstChunkAt: number | undefined;
    let chunkCount = 0;
    const closed = new Promise<void>(resolve => {
        const finish = () => {
            connection.closeListeners.delete(handleClose);
            resolve();
        };
        const handleClose = () => {
            if (!outgoing.writableFinished) {
                cancellation.abort(notRun(FailureReason.Cancelled, "The caller closed the connection."));
            }
            finish();
        };
        connection.closeListeners.add(handleClose);
        outgoing.once("finish", finish);
        outgoing.once("error", handleClose);
    });

    const writeHead = (status: number, fields: HeaderFields) => {
        firstByteAt = now();
        outgoing.sendDate = false;
        if (isClosing()) {
            outgoing.shouldKeepAlive = false;
        }
        outgoing.writeHead(status, [...fields]);
    };

    return {
        signal: cancellation.signal,
        closed,
        firstByteAt: () => firstByteAt,
        longestPause: () => longestPause,
        meanPause: () => chunkCount < 2 ? undefined : ((lastChunkAt ?? 0) - (firstChunkAt ?? 0)) / (chunkCount - 1),
        isHeadSent: () => outgoing.headersSent,
        answer: (status, fields, body) => {
            if (outgoing.headersSent || cancellation.signal.aborted) {
                return;
            }
            writeHead(status, [...fields, "Content-Length", String(body.length)]);
            outgoing.end(body);
        },
        begin: writeHead,
        write: chunk => {
            const at = now();
            longestPause = Math.max(longestPause, at - (lastChunkAt ?? at));
            lastChunkAt = at;
            firstChunkAt ??= at;
            chunkCount += 1;
            outgoing.write(chunk);
            if (outgoing.writableLength > maxBufferedBytes) {
                outgoing.destroy();
            }
        },
        end: () => outgoing.end(),
        abort: () => outgoing.destroy(),
    };
}

/** The failure for which an aborted signal was aborted. */
export function abortFailure(signal: AbortSignal): Failure {
    return signal.reason as Failure;
}

import { type Failure, FailureReason, notRun } from "daisyturn-utils";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { HeaderFields } from "../../ports/forwardedCall.js";
import { createDispatchGate, type DispatchGate } from "../../request/forwarding/sending/dispatchGate.js";
import type { CallerConnection } from "../caller/callerConnection.js";

/** The planned end of the process, in monotonic times. */
export interface ProcessStop {
    /** When the load balancer has detected the shutdown. */
    readonly noticedAt: number;
    /** When calls that still run are ended. */
    readonly endsAt: number;
}

/** Sends the answer to one forwarded request. */
export interface ForwardExchange {
    /** Aborted once the caller has closed the connection, or by `cancel`; the reason is a `Failure`. */
    readonly signal: AbortSignal;
    /** The end of the process; undefined while none is planned. */
    stop(): ProcessStop | undefined;
    /** Ends the call without its caller, who is then answered. */
    cancel(failure: Failure): void;
    /** Closed by the answer, and by the caller's close. */
    readonly gate: DispatchGate;
    /** Monotonic time at which the caller's close was seen; undefined before. */
    closedAt(): number | undefined;
    isHeadSent(): boolean;
    /** Monotonic time at which the first byte of the answer was sent; undefined before. */
    firstByteAt(): number | undefined;
    /** Longest time between two chunks of a streamed answer, in milliseconds. */
    longestPause(): number;
    /** Mean time between two chunks, in milliseconds; undefined with fewer than two chunks. */
    meanPause(): number | undefined;
    /** Sends a complete answer. A large body comes in blocks, since a copy would take as much memory again. */
    answer(status: number, fields: HeaderFields, body: Buffer | readonly Buffer[]): void;
    /** Begins a streamed answer, whose length is not known yet. */
    begin(status: number, fields: HeaderFields): void;
    write(chunk: Buffer): void;
    /** Ends a streamed answer as complete. */
    end(): void;
    /** Closes the connection without ending the answer, so that the caller detects the truncation. */
    abort(): void;
    /** Resolves once the answer is sent or the caller has closed the connection. */
    readonly closed: Promise<void>;
}

/** Bytes buffered for a caller that reads slowly. Its connection is closed if more accumulate. */
const maxBufferedBytes = 1024 * 1024;

/** Creates the exchange for one request. */
export function createForwardExchange(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    connection: CallerConnection,
    stop: () => ProcessStop | undefined,
    now: () => number,
): ForwardExchange {
    const cancellation = new AbortController();
    let firstByteAt: number | undefined;
    let lastChunkAt: number | undefined;
    let longestPause = 0;
    let firstChunkAt: number | undefined;
    let chunkCount = 0;
    let closedAt: number | undefined;
    const gate = createDispatchGate();
    let resolveClosed: () => void = () => undefined;
    const closed = new Promise<void>(resolve => {
        resolveClosed = resolve;
    });
    const finish = () => {
        gate.close();
        request.end();
        resolveClosed();
    };
    let isCallerGone = false;
    const handleClose = () => {
        if (!outgoing.writableFinished) {
            isCallerGone = true;
            closedAt ??= now();
            cancellation.abort(notRun(FailureReason.Cancelled, "The caller closed the connection."));
        }
        finish();
    };
    const request = connection.beginRequest(incoming, handleClose);
    outgoing.once("finish", finish);
    outgoing.once("error", handleClose);

    const writeHead = (status: number, fields: HeaderFields) => {
        firstByteAt = now();
        outgoing.sendDate = false;
        // A close here would leave the pipelined requests behind this one without an answer.
        if (stop() && request.isLatest()) {
            outgoing.shouldKeepAlive = false;
        }
        if (!outgoing.shouldKeepAlive) {
            connection.endService();
        }
        outgoing.writeHead(status, [...fields]);
    };

    return {
        signal: cancellation.signal,
        stop,
        cancel: failure => cancellation.abort(failure),
        gate,
        closed,
        closedAt: () => closedAt,
        firstByteAt: () => firstByteAt,
        longestPause: () => longestPause,
        meanPause: () => chunkCount < 2 ? undefined : ((lastChunkAt ?? 0) - (firstChunkAt ?? 0)) / (chunkCount - 1),
        isHeadSent: () => outgoing.headersSent,
        answer: (status, fields, body) => {
            if (outgoing.headersSent || isCallerGone) {
                return;
            }
            gate.close();
            const blocks = Buffer.isBuffer(body) ? [body] : body;
            const byteCount = blocks.reduce((sum, block) => sum + block.length, 0);
            writeHead(status, [...fields, "Content-Length", String(byteCount)]);
            blocks.slice(0, -1).forEach(block => outgoing.write(block));
            outgoing.end(blocks.at(-1));
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

/** Returns the failure that is the reason of an aborted signal. */
export function abortFailure(signal: AbortSignal): Failure {
    return signal.reason as Failure;
}

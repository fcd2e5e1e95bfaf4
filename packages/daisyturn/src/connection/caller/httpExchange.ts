import { type Failure, FailureReason, mayHaveRun } from "daisyturn-utils";
import type { IncomingMessage, OutgoingHttpHeaders, ServerResponse } from "node:http";
import type { AnswerHeaders, CallerAnswer, CallerExchange } from "../../request/callerExchange.js";
import type { CallerConnection } from "./callerConnection.js";
import type { CallerLimits } from "./callerServerOptions.js";
import { createEventWriter } from "./eventWriter.js";
import { readBody } from "./readBody.js";

/** Options of {@link createHttpExchange}. */
export interface HttpExchangeOptions {
    readonly requestId: string;
    readonly limits: CallerLimits;
    /** Reserves memory for a body; false if the limit of the process is exceeded. */
    readonly reserveBody: (byteCount: number) => boolean;
    readonly connection: CallerConnection;
    /** Whether connections are to be closed after their answer. */
    readonly isClosing: () => boolean;
}

/** An exchange over HTTP/1.1. */
export interface HttpExchange extends CallerExchange {
    /** Aborts the exchange for a reason on this side, such as a fault or a shutdown. */
    abort(failure: Failure): void;
    /** Resolves once the answer is sent or the connection is closed. */
    readonly closed: Promise<void>;
}

/** Statuses whose answers have no body. */
const bodylessStatuses: ReadonlySet<number> = new Set([204, 205, 304]);

/** Creates the exchange for one HTTP request. */
export function createHttpExchange(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    options: HttpExchangeOptions,
): HttpExchange {
    const { limits, requestId } = options;
    const cancellation = new AbortController();
    const { path, query } = splitUrl(incoming.url ?? "/");

    let resolveClosed: () => void = () => undefined;
    const closed = new Promise<void>(resolve => {
        resolveClosed = resolve;
    });
    const finish = () => {
        request.end();
        if (!outgoing.writableFinished) {
            cancellation.abort(mayHaveRun(FailureReason.Cancelled, "The caller has closed the connection."));
        }
        resolveClosed();
    };
    const request = options.connection.beginRequest(incoming, finish);
    outgoing.once("close", finish);

    const buildHeaders = (contentType: string, headers: AnswerHeaders = {}): OutgoingHttpHeaders => {
        const fields: OutgoingHttpHeaders = { "X-Request-Id": requestId, ...headers };
        if (contentType !== "") {
            fields["Content-Type"] = contentType;
        }
        // Bytes of an unread body would be parsed as the next request, and a stopping process accepts no next request.
        // Requests that are being served already are answered.
        if (request.isLatest() && (options.isClosing() || !isBodyRead(incoming))) {
            fields["Connection"] = "close";
            options.connection.endService();
        }
        return fields;
    };

    const answer = (answer: CallerAnswer) => {
        if (outgoing.destroyed || outgoing.headersSent) {
            return;
        }
        const headers = buildHeaders(answer.contentType, answer.headers);
        if (bodylessStatuses.has(answer.status)) {
            outgoing.writeHead(answer.status, headers).end();
            return;
        }
        headers["Content-Length"] = Buffer.byteLength(answer.body);
        outgoing.writeHead(answer.status, headers);
        if (isBodyRead(incoming)) {
            outgoing.end(answer.body);
            return;
        }
        outgoing.write(answer.body);
        endAfterDrainingBody(incoming, outgoing, limits.lingerMilliseconds);
    };

    return {
        requestId,
        method: incoming.method ?? "",
        path,
        query,
        signal: cancellation.signal,
        closed,
        header: name => {
            const value = incoming.headers[name];
            return Array.isArray(value) ? value.join(", ") : value;
        },
        readBody: () =>
            readBody(incoming, {
                maxBytes: limits.maxBodyBytes,
                milliseconds: limits.bodyMilliseconds,
                reserve: options.reserveBody,
                sendContinue: () => sendContinue(incoming, outgoing),
            }),
        answer,
        openEventStream: headers => {
            outgoing.writeHead(200, buildHeaders("text/event-stream", { "Cache-Control": "no-store", ...headers }));
            return createEventWriter(outgoing, limits);
        },
        abort: failure => cancellation.abort(failure),
    };
}

/** Sends `100 Continue` to a caller that expects it, once the announced length of the body is accepted. */
function sendContinue(incoming: IncomingMessage, outgoing: ServerResponse): void {
    if (incoming.headers.expect !== undefined) {
        outgoing.writeContinue();
    }
}

function isBodyRead(incoming: IncomingMessage): boolean {
    const hasBody = incoming.headers["content-length"] !== undefined
        || incoming.headers["transfer-encoding"] !== undefined;
    return incoming.complete || !hasBody;
}

/**
 * Reads and drops the rest of the body for a limited time before ending the answer. Closing a connection with unread
 * bytes resets it, and the caller might not receive the refusal.
 */
function endAfterDrainingBody(incoming: IncomingMessage, outgoing: ServerResponse, milliseconds: number): void {
    const end = () => {
        clearTimeout(timer);
        outgoing.end();
    };
    const timer = setTimeout(end, milliseconds);
    incoming.once("end", end).once("close", end);
    incoming.resume();
}

function splitUrl(url: string): { path: string; query: string; } {
    const queryStart = url.indexOf("?");
    return queryStart < 0 ? { path: url, query: "" } : { path: url.slice(0, queryStart), query: url.slice(queryStart) };
}

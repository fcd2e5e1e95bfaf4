import { FailureReason, notRun } from "daisyturn-utils";
import type { Duplex } from "node:stream";
import { buildErrorBody } from "../../request/answer/answer.js";

/** Node's error for bytes that are not a valid HTTP request. */
export interface ProtocolError extends Error {
    readonly code?: string;
}

interface ProtocolRefusal {
    readonly status: string;
    readonly message: string;
}

const refusals: Readonly<Record<string, ProtocolRefusal>> = {
    HPE_HEADER_OVERFLOW: { status: "431 Request Header Fields Too Large", message: "The header is too long." },
    ERR_HTTP_REQUEST_TIMEOUT: { status: "408 Request Timeout", message: "The request did not arrive in time." },
};
const statusLength = 3;
const malformed: ProtocolRefusal = { status: "400 Bad Request", message: "This is not a valid HTTP/1.1 request." };

/**
 * Answers bytes that Node could not parse as a request, and closes the connection. The parser goes on reading, so the
 * connection's service must have ended before.
 * @param lingerMilliseconds time for which what the caller still sends is dropped, so that it receives the answer
 * @returns the status that was sent; undefined if the caller has closed the connection
 */
export function answerProtocolError(
    error: ProtocolError,
    socket: Duplex,
    lingerMilliseconds: number,
): string | undefined {
    if (!socket.writable) {
        socket.destroy();
        return undefined;
    }
    const { status, message } = refusals[error.code ?? ""] ?? malformed;
    const body = JSON.stringify(buildErrorBody(notRun(FailureReason.BadRequest, message)));
    socket.end(
        `HTTP/1.1 ${status}\r\nContent-Type: application/json\r\nContent-Length: ${Buffer.byteLength(body)}\r\n`
            + `Connection: close\r\n\r\n${body}`,
    );
    setTimeout(() => socket.destroy(), lingerMilliseconds).unref();
    return status.slice(0, statusLength);
}

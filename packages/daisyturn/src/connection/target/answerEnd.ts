import type { IncomingFields } from "../../ports/forwardedCall.js";
import { isChunked } from "./isChunked.js";

/** What showed that an answer was complete. */
export enum AnswerEnd {
    /** Its length or its last chunk. */
    Framed = "framed",
    /** The close of its connection, which a target that ends closes in the same way. */
    ConnectionClosed = "connection_closed",
}

/** Determines from the head of an answer what will show that it is complete. */
export function determineEnd(method: string, status: number, fields: IncomingFields): AnswerEnd {
    const isBodyless = method === "HEAD" || status === 204 || status === 304;
    return isBodyless || isChunked(fields["transfer-encoding"]) || fields["content-length"] !== undefined
        ? AnswerEnd.Framed
        : AnswerEnd.ConnectionClosed;
}

import { type Failure, FailureReason, notRun } from "daisyturn-utils";
import type { IncomingMessage } from "node:http";

/** Fields that determine the meaning of a request. If one is repeated, it is ambiguous which value applies. */
const singletonFields: ReadonlySet<string> = new Set([
    "authorization",
    "content-type",
    "idempotency-key",
    "last-event-id",
    "x-deadline",
    "x-resume-token",
]);

/** Checks the number of header fields and rejects repeated singleton fields. Returns undefined for a valid header. */
export function validateHeaderFields(incoming: IncomingMessage, maxHeaderCount: number): Failure | undefined {
    const { rawHeaders } = incoming;
    if (rawHeaders.length / 2 > maxHeaderCount) {
        return notRun(FailureReason.BadRequest, `The request has more than ${maxHeaderCount} header fields.`);
    }
    const seen = new Set<string>();
    for (let index = 0; index < rawHeaders.length; index += 2) {
        const name = rawHeaders[index]?.toLowerCase() ?? "";
        if (singletonFields.has(name) && seen.has(name)) {
            return notRun(FailureReason.BadRequest, `The header field ${name} may stand only once.`);
        }
        seen.add(name);
    }
    return undefined;
}

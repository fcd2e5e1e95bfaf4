import { createHash } from "node:crypto";
import type { ForwardedCall } from "../../ports/forwardedCall.js";

/** The fields that two attempts of the same request have in common. */
export type RepeatedFields = Pick<ForwardedCall, "callerAddress" | "method" | "host" | "url" | "body">;

/** 96 bits, so that nobody can find another request with the same fingerprint. */
const fingerprintBytes = 12;

/**
 * Returns a text that identifies a request by its caller, path and body, the same for all attempts and at all
 * processes. It contains the caller, so that no caller can produce the fingerprint of another one's request.
 */
export function fingerprintCall({ callerAddress, method, host, url, body }: RepeatedFields): string {
    const head = JSON.stringify([callerAddress, method, host, url]);
    const digest = createHash("sha256").update(head).update(body).digest();
    return digest.subarray(0, fingerprintBytes).toString("base64url");
}

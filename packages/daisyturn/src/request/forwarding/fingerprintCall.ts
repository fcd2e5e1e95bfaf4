import { createHash } from "node:crypto";
import type { ForwardedCall } from "../../ports/forwardedCall.js";

/** The fields that two attempts of the same request have in common. */
export type RepeatedFields = Pick<ForwardedCall, "method" | "host" | "url" | "forwardedFields" | "body">;

/** 96 bits, so that nobody can find another request with the same fingerprint. */
const fingerprintBytes = 12;
/** Fields that tell who the caller is. Its address does not: it may use many, and a proxy's stands for many callers. */
const credentialFields: ReadonlySet<string> = new Set(["authorization", "cookie"]);

/**
 * Returns a text that identifies a request by its caller, path and body, the same for all attempts and at all
 * processes. It covers the caller's credentials, so that nobody can keep out the requests of another caller.
 */
export function fingerprintCall({ method, host, url, forwardedFields, body }: RepeatedFields): string {
    const credentials = forwardedFields.filter((value, index) =>
        index % 2 === 1 && credentialFields.has((forwardedFields[index - 1] ?? "").toLowerCase())
    );
    const head = JSON.stringify([method, host, url, credentials]);
    const digest = createHash("sha256").update(head).update(body).digest();
    return digest.subarray(0, fingerprintBytes).toString("base64url");
}

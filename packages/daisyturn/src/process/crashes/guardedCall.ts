import { createHash } from "node:crypto";

/** One attempt of a caller's request, over its runs at targets. */
export interface GuardedCall {
    /**
     * Returns a text that identifies the request, the same for all its attempts and at all processes. It is computed at
     * the first use only, because most requests never need theirs.
     */
    readonly fingerprint: () => string;
    /** How many runs of this attempt have failed with a broken connection or a silent target. */
    brokenRuns: number;
}

/** 96 bits, so that nobody can find another request with the same fingerprint. */
const fingerprintBytes = 12;

/**
 * Creates the call of one attempt.
 * @param identify returns the caller, the path and all else besides the body that two attempts of the request have in
 *     common; it covers the caller, so that nobody can keep out the requests of another caller
 */
export function createGuardedCall(identify: () => readonly unknown[], body: string | Buffer): GuardedCall {
    let fingerprint: string | undefined;
    return {
        fingerprint: () => fingerprint ??= computeFingerprint(identify(), body),
        brokenRuns: 0,
    };
}

function computeFingerprint(identity: readonly unknown[], body: string | Buffer): string {
    const digest = createHash("sha256").update(JSON.stringify(identity)).update(body).digest();
    return digest.subarray(0, fingerprintBytes).toString("base64url");
}

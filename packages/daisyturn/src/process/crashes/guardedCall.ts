import { createHash } from "node:crypto";

/** One attempt of a caller's request, over its runs at targets. */
export interface GuardedCall {
    /**
     * Returns a text that identifies the request, the same for all its attempts and at all processes. It is computed at
     * the first use only, because most requests never need theirs.
     */
    readonly fingerprint: () => string;
    /**
     * Returns texts that identify the parts of the request's prompt that other requests may share, in the order of the
     * prompt. They are computed at the first use too.
     */
    readonly partFingerprints: () => readonly string[];
    /** How many runs of this attempt have failed with a broken connection or a silent target. */
    brokenRuns: number;
}

/** Tells the fingerprints of parts from those of requests, which have no colon. */
const partPrefix = "part:";
/** Longer identifiers are hashed, because fingerprints are sent to the other processes. */
const maxPartLength = 64;
/** 96 bits, so that nobody can find another request with the same fingerprint. */
const fingerprintBytes = 12;

/**
 * Creates the call of one attempt.
 * @param identify returns the caller, the path and all else besides the body that two attempts of the request have in
 *     common; it covers the caller, so that nobody can keep out the requests of another caller
 * @param sharedParts identifiers of the parts of the prompt that other requests may share
 */
export function createGuardedCall(
    identify: () => readonly unknown[],
    body: string | Buffer,
    sharedParts: () => readonly string[] = () => [],
): GuardedCall {
    let fingerprint: string | undefined;
    let partFingerprints: readonly string[] | undefined;
    return {
        fingerprint: () => fingerprint ??= computeFingerprint(identify(), body),
        partFingerprints: () => partFingerprints ??= [...new Set(sharedParts().map(fingerprintPart))],
        brokenRuns: 0,
    };
}

/**
 * Returns the fingerprint of a part. It does not cover the caller, the service or the model, since the part ends targets
 * whoever sends it, and a route may move to another service.
 */
export function fingerprintPart(partId: string): string {
    return partPrefix + (partId.length <= maxPartLength ? partId : computeFingerprint([], partId));
}

export function isPartFingerprint(fingerprint: string): boolean {
    return fingerprint.startsWith(partPrefix);
}

function computeFingerprint(identity: readonly unknown[], body: string | Buffer): string {
    const digest = createHash("sha256").update(JSON.stringify(identity)).update(body).digest();
    return digest.subarray(0, fingerprintBytes).toString("base64url");
}

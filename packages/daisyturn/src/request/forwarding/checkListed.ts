import { type Failure, FailureReason, notRun } from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import type { CallContext } from "./callContext.js";
import type { ForwardingParts } from "./forwardingParts.js";

type ListingParts = Pick<ForwardingParts, "crashEvidence" | "clock">;
type ListingContext = Pick<CallContext, "fingerprint">;

/**
 * Fails if the request is kept out of targets. The caller is told when the evidence lapses, so that it does not come
 * back for nothing. While there is no evidence at all, the fingerprint is not computed.
 */
export function checkListed(
    { crashEvidence, clock }: ListingParts,
    { fingerprint }: ListingContext,
): Result<void, Failure> {
    const listed = crashEvidence.isEmpty() ? undefined : crashEvidence.findListed(fingerprint());
    if (!listed) {
        return ok(undefined);
    }
    const message = `${listed.targetIds.length} targets ended while they ran this request.`;
    const retryAt = clock.wallNow() + listed.until - clock.monotonicNow();
    return err(notRun(FailureReason.CrashesTargets, message, retryAt));
}

/** Records that the request was answered, which refutes the evidence against it. */
export function recordAnswer({ crashEvidence }: ListingParts, { fingerprint }: ListingContext): void {
    if (!crashEvidence.isEmpty()) {
        crashEvidence.recordAnswer(fingerprint());
    }
}

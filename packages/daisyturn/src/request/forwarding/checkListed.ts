import type { Failure } from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import { createListedFailure } from "../listedFailure.js";
import type { CallContext } from "./callContext.js";
import type { ForwardingParts } from "./forwardingParts.js";

/**
 * Fails if the call is kept out of targets. The caller is told when the evidence lapses, so that it does not come back
 * for nothing, and the log names what is listed.
 */
export function checkListed(
    { crashGuard, clock }: Pick<ForwardingParts, "crashGuard" | "clock">,
    { guarded, trace }: Pick<CallContext, "guarded" | "trace">,
): Result<void, Failure> {
    const listed = crashGuard.findListed(guarded);
    if (!listed) {
        return ok(undefined);
    }
    trace.addSummaryFields({ listed: listed.fingerprint });
    return err(createListedFailure(listed, clock.wallNow() + listed.until - clock.monotonicNow()));
}

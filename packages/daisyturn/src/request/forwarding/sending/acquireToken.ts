import { EventKind, type Failure, FailureReason, notRun } from "daisyturn-utils";
import type { ListedTarget } from "../../../ports/listedTarget.js";
import { UnavailableReason } from "../../../process/forwarding/index.js";
import type { CallContext } from "../callContext.js";
import type { ForwardingParts } from "../forwardingParts.js";

/**
 * Takes a token right before a send to a target that names a limit. Without one the call takes another target; this is
 * neither evidence against the target nor a retry.
 */
export async function acquireToken(
    { targetQuotas, availability, clock }: ForwardingParts,
    context: CallContext,
    { targetId }: ListedTarget,
): Promise<Failure | undefined> {
    const isKnownFull = availability.check(targetId)?.reason === UnavailableReason.Throttled;
    if (!isKnownFull && await targetQuotas.acquire(targetId)) {
        // The caller may have left during the request for the token.
        return context.signal.aborted ? context.signal.reason as Failure : undefined;
    }
    const found = availability.check(targetId);
    const until = found?.reason === UnavailableReason.Throttled ? found.until : clock.monotonicNow();
    context.nextTokenAt = Math.min(context.nextTokenAt ?? Infinity, until);
    const wait = Math.max(0, until - clock.monotonicNow());
    context.trace.record(EventKind.TargetFull, { target: targetId, wait: Math.round(wait) });
    return notRun(FailureReason.TargetFull, "The target is at the limit that it names.", clock.wallNow() + wait);
}

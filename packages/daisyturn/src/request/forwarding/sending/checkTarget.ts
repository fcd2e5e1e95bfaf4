import { type Failure, FailureReason, mayHaveRun, notRun } from "daisyturn-utils";
import type { ListedTarget } from "../../../ports/listedTarget.js";
import { UnavailableReason } from "../../../process/forwarding/index.js";
import type { CallContext } from "../callContext.js";
import type { ForwardingParts } from "../forwardingParts.js";

/** Checked right before the send, because the target may have stopped taking work since it was chosen. */
export function checkAvailable(
    { availability }: Pick<ForwardingParts, "availability">,
    { targetId }: ListedTarget,
): Failure | undefined {
    const found = availability.check(targetId);
    // Another call found it without tokens; this one has its own, or asks for it.
    if (found === undefined || found.reason === UnavailableReason.Throttled) {
        return undefined;
    }
    return notRun(FailureReason.NoTarget, `The chosen target has just stopped taking new work (${found.reason}).`);
}

/** A stream goes on only at its version, where nothing suggests that another incarnation than the listed one answers. */
export function checkVersion(
    { continuity }: Pick<ForwardingParts, "continuity">,
    { softwareVersion }: CallContext,
    target: ListedTarget,
): Failure | undefined {
    if (softwareVersion === undefined) {
        return undefined;
    }
    if (target.softwareVersion !== softwareVersion) {
        return notRun(FailureReason.NoTarget, "The chosen target's software version did not begin the stream.");
    }
    return continuity.isConfirmed(target.targetId)
        ? undefined
        : notRun(FailureReason.NoTarget, "The chosen target may have restarted with another software version.");
}

/** The answer may be that of the next incarnation, whose row was read after the call was sent. */
export function checkRestart(
    { continuity }: Pick<ForwardingParts, "continuity">,
    { targetId }: ListedTarget,
): Failure | undefined {
    return continuity.hasRestarted(targetId)
        ? mayHaveRun(FailureReason.TargetFailed, "The target has restarted.")
        : undefined;
}

import { EventKind, type Failure, FailureReason, mayHaveRun } from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import type { CallCost } from "../../process/forwarding/createTargetLoads.js";
import { CallKind } from "../../version/forwarding/forwardingConfiguration.js";
import { type CallRun, concludeRun, describeNoTarget, hasReached, isRepeatable, mayTryAgain } from "./callRun.js";
import type { ForwardingParts } from "./forwardingParts.js";
import { sendToTarget, type TargetReply } from "./sendToTarget.js";

const firstErrorStatus = 500;
/** What a plain call costs its target is not known ahead; only how many run there counts. */
const plainCost: CallCost = { work: 0, isDeferred: false, tokens: 0 };

/** Has a plain service answer a call, at another target after a failure where that can do no harm. */
export async function runPlainCall(parts: ForwardingParts, run: CallRun): Promise<Result<TargetReply, Failure>> {
    for (;;) {
        const target = parts.placement.placePlain(run.service.name, run.avoid);
        if (!target) {
            return err(concludeRun(run, describeNoTarget(run, parts.clock)));
        }
        run.trace.note(EventKind.RequestPlaced, {
            target: target.targetId,
            zone: target.availabilityZone,
            calls: Math.round(parts.loads.calls(target.targetId)),
            slots: target.slots,
        });
        const reply = await sendToTarget(parts, run, {
            target,
            terms: {},
            isRepeatable: isRepeatable(run.route),
            cost: plainCost,
        });
        run.avoid.add(target.targetId);
        if (reply.isOk) {
            run.sentTo.add(target.targetId);
            if (!isWorthRepeating(run, reply.value)) {
                return reply;
            }
            const failure = mayHaveRun(FailureReason.TargetFailed, "The target answered with an error of its own.");
            if (!mayTryAgain(parts, run, failure, true)) {
                return ok(reply.value);
            }
            continue;
        }
        const isReached = hasReached(reply.error);
        if (isReached) {
            run.sentTo.add(target.targetId);
        }
        if (!mayTryAgain(parts, run, reply.error, isReached)) {
            return err(concludeRun(run, reply.error));
        }
    }
}

function isWorthRepeating(run: CallRun, reply: TargetReply): boolean {
    return run.route.kind === CallKind.Idempotent && reply.head.status >= firstErrorStatus;
}

import { EventKind, type Failure, FailureReason, mayHaveRun } from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import type { ListedTarget } from "../../ports/listedTarget.js";
import type { CallCost } from "../../process/forwarding/index.js";
import { CallKind } from "../../version/forwarding/forwardingConfiguration.js";
import { type CallAnswer, concludeStream } from "./callAnswer.js";
import { type CallRun, concludeRun, describeNoTarget, hasReached, isRepeatable, mayTryAgain } from "./callRun.js";
import { createEventRelay, type EventRelay } from "./eventRelay.js";
import type { ForwardingParts } from "./forwardingParts.js";
import { sendToTarget } from "./sendToTarget.js";

const firstErrorStatus = 500;
/** What a plain call costs its target is not known ahead; only how many run there counts. */
const plainCost: CallCost = { work: 0, isDeferred: false, tokens: 0 };

/**
 * Has a plain service answer a call, at another target after a failure where that can do no harm. The events of a
 * stream are passed on as they come.
 */
export async function runPlainCall(parts: ForwardingParts, run: CallRun): Promise<Result<CallAnswer, Failure>> {
    const relay = run.route.kind === CallKind.Stream ? createEventRelay(run.exchange) : undefined;
    for (;;) {
        const target = parts.placement.placePlain(run.service.name, run.avoid);
        if (!target) {
            return err(concludeRun(run, describeNoTarget(run, parts.clock)));
        }
        const answer = await tryTarget(parts, run, target, relay);
        run.avoid.add(target.targetId);
        relay?.dropPartialEvent();
        if (answer.isOk && !isWorthRepeating(run, answer.value)) {
            return answer;
        }
        const failure = answer.isErr ? answer.error : describeTargetError();
        const isReached = hasReached(failure);
        if (isReached) {
            run.sentTo.add(target.targetId);
        }
        if (!mayTryAgain(parts, run, failure, isReached)) {
            return answer.isOk ? answer : err(concludeRun(run, failure));
        }
    }
}

async function tryTarget(
    parts: ForwardingParts,
    run: CallRun,
    target: ListedTarget,
    relay: EventRelay | undefined,
): Promise<Result<CallAnswer, Failure>> {
    run.trace.record(EventKind.RequestPlaced, {
        target: target.targetId,
        zone: target.availabilityZone,
        calls: Math.round(parts.loads.calls(target.targetId)),
        slots: target.slots,
    });
    const reply = await sendToTarget(parts, run, {
        target,
        terms: { lastEventId: relay?.lastEventId() },
        isRepeatable: isRepeatable(run.route),
        cost: plainCost,
        ...(relay && {
            onPiece: (head, piece) => relay.take(head.status, head.forwardedFields, piece),
        }),
    });
    if (reply.isErr) {
        return err(reply.error);
    }
    run.sentTo.add(target.targetId);
    return relay ? concludeStream(run, relay, reply.value) : ok({ isPassedOn: false, reply: reply.value });
}

function isWorthRepeating(run: CallRun, { reply }: CallAnswer): boolean {
    return run.route.kind === CallKind.Idempotent && reply.head.status >= firstErrorStatus;
}

function describeTargetError(): Failure {
    return mayHaveRun(FailureReason.TargetFailed, "The target answered with an error of its own.");
}

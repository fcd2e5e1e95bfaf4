import { EventKind, type Failure, FailureReason, mayHaveRun } from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import type { ListedTarget } from "../../ports/listedTarget.js";
import type { CallCost } from "../../process/forwarding/index.js";
import { CallKind } from "../../version/forwarding/forwardingConfiguration.js";
import { type CallAnswer, finishStream } from "./callAnswer.js";
import {
    type CallContext,
    createFinalFailure,
    createNoTargetFailure,
    estimateRetryDelay,
    hasReachedTarget,
    isRepeatable,
} from "./callContext.js";
import { createEventRelay, type EventRelay } from "./eventRelay.js";
import type { ForwardingParts } from "./forwardingParts.js";
import { recordOrigin } from "./resumption/recordOrigin.js";
import { acquireRetry } from "./retries/acquireRetry.js";
import { sendToTarget } from "./sending/sendToTarget.js";
import { waitForCapacity } from "./sending/waitForCapacity.js";

const minErrorStatus = 500;
/** The cost of a plain call is not known in advance; only the number of calls at a target is counted. */
const plainCost: CallCost = { work: 0, isDeferred: false, tokens: 0 };

/**
 * Sends a call to a plain service, and after a failure to another target if that is safe. The events of a stream are
 * relayed as they arrive.
 */
export async function runPlainCall(parts: ForwardingParts, context: CallContext): Promise<Result<CallAnswer, Failure>> {
    const relay = context.route.kind === CallKind.Stream
        ? createEventRelay(context.exchange, () => recordOrigin(parts, context))
        : undefined;
    const full = await waitForCapacity(parts, context);
    if (full) {
        return err(createFinalFailure(context, full));
    }
    for (;;) {
        const target = parts.placement.placePlain(context.service.name, context);
        if (!target) {
            const delay = estimateRetryDelay(parts, context);
            return err(createFinalFailure(context, createNoTargetFailure(context, parts.clock, delay)));
        }
        const answer = await tryTarget(parts, context, target, relay);
        context.avoid.add(target.targetId);
        relay?.discardPartialEvent();
        if (answer.isOk && !isRetryableError(context, answer.value)) {
            return answer;
        }
        const failure = answer.isErr ? answer.error : createTargetErrorFailure();
        if (failure.reason === FailureReason.TargetFull) {
            continue;
        }
        const isReached = hasReachedTarget(failure);
        if (isReached) {
            context.attemptedTargets.add(target.targetId);
        }
        if (!await acquireRetry(parts, context, { failure, isReached, mayPrefill: false })) {
            return answer.isOk ? answer : err(createFinalFailure(context, failure));
        }
    }
}

async function tryTarget(
    parts: ForwardingParts,
    context: CallContext,
    target: ListedTarget,
    relay: EventRelay | undefined,
): Promise<Result<CallAnswer, Failure>> {
    context.trace.record(EventKind.RequestPlaced, {
        target: target.targetId,
        zone: target.availabilityZone,
        calls: Math.round(parts.loads.calls(target.targetId)),
        slots: target.slots,
    });
    const sentAt = parts.clock.monotonicNow();
    const reply = await sendToTarget(parts, context, {
        target,
        terms: { lastEventId: relay?.lastEventId() },
        isRepeatable: isRepeatable(context.route),
        cost: plainCost,
        ...(relay && {
            onChunk: (head, piece) => relay.write(head.status, head.forwardedFields, piece),
            isWhole: () => !relay.hasPartialEvent(),
            heldBytes: relay.heldBytes,
        }),
    });
    if (reply.isErr) {
        return err(reply.error);
    }
    parts.shortage.recordEnd(context.service.name, parts.clock.monotonicNow() - sentAt);
    context.attemptedTargets.add(target.targetId);
    return relay ? finishStream(context, relay, reply.value) : ok({ isRelayed: false, reply: reply.value });
}

function isRetryableError(context: CallContext, { reply }: CallAnswer): boolean {
    return context.route.kind === CallKind.Idempotent && reply.head.status >= minErrorStatus;
}

function createTargetErrorFailure(): Failure {
    return mayHaveRun(FailureReason.TargetFailed, "The target answered with an error of its own.");
}

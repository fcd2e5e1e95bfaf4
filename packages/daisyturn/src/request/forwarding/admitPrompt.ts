import { EventKind, type Failure, FailureReason, notRun } from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import type { ForwardedCall, PromptDescription } from "../../ports/forwardedCall.js";
import {
    type DecisionRequest,
    Mechanism,
    type PromptDecision,
    type PromptPlacement,
    type TrackedPrompt,
} from "../../process/forwarding/index.js";
import { type CallContext, createNoTargetFailure } from "./callContext.js";
import { type CallTiming, computeAbandonmentTime } from "./computeAbandonmentTime.js";
import type { ForwardingParts } from "./forwardingParts.js";

/** The parts of the process that admission asks. */
export type AdmissionParts = Pick<ForwardingParts, "decisions" | "clock" | "switchedOff" | "availabilityZone">;

/** A call that is to be admitted. */
export interface AdmissionContext extends CallTiming, Pick<CallContext, "service" | "avoid" | "pauseAim" | "trace"> {
    readonly call: Pick<ForwardedCall, "arrivedAt" | "body">;
    readonly route: CallTiming["route"] & Pick<CallContext["route"], "name">;
}

/** What one placement of a prompt goes by, beside the call itself. */
export interface AdmissionTerms {
    readonly prompt: PromptDescription;
    readonly account: TrackedPrompt;
    /** Whether both parts have to be done by one engine. */
    readonly isWholeOnly: boolean;
    /** Whether the caller has had events already: then it is not refused by a forecast. */
    readonly hasStarted: boolean;
}

/** An answer is planned to be on time by this part of its aim: the rest covers what estimates are off. */
const plannedAimFraction = 0.85;
const tooLateMessage = "The answer would begin too late.";

/** Chooses the way of a prompt; refuses it at once where no engine is open or its answer would begin after its caller has left. */
export async function admitPrompt(
    parts: AdmissionParts,
    context: AdmissionContext,
    terms: AdmissionTerms,
): Promise<Result<PromptPlacement, Failure>> {
    const decision = await parts.decisions.decide(buildDecisionRequest(parts, context, terms));
    if (!decision) {
        return err(createNoTargetFailure(context, parts.clock));
    }
    recordPlacement(parts, context, decision);
    const { placement, lateness } = decision;
    if (lateness > 0 && !terms.hasStarted && !parts.switchedOff.has(Mechanism.RefusalByForecast)) {
        const retryAt = parts.clock.wallNow() + lateness;
        return err(notRun(FailureReason.DeadlineUnreachable, tooLateMessage, retryAt));
    }
    return ok(placement);
}

function buildDecisionRequest(
    parts: AdmissionParts,
    context: AdmissionContext,
    { prompt, isWholeOnly, account }: AdmissionTerms,
): DecisionRequest {
    const now = parts.clock.monotonicNow();
    return {
        route: context.route.name,
        demand: {
            service: context.service,
            prompt,
            bodyBytes: context.call.body.length,
            avoid: context.avoid,
            isWholeOnly,
            pauseAim: context.pauseAim,
            aim: context.call.arrivedAt + context.route.latencyAimMilliseconds * plannedAimFraction - now,
            mayDefer: true,
            availabilityZone: parts.availabilityZone,
        },
        patience: computeAbandonmentTime(context) - now,
        isUnderserved: account.isUnderserved,
        areLongestUnderserved: account.areLongestUnderserved,
    };
}

function recordPlacement(
    { clock }: AdmissionParts,
    context: AdmissionContext,
    { placement, isUnderserved, decidedBy }: PromptDecision,
): void {
    const { prefill, decode, firstEvent, soonestEvent, isDeferred } = placement;
    const { arrivedAt } = context.call;
    context.trace.addSummaryFields({
        begins: Math.round(clock.monotonicNow() + soonestEvent - arrivedAt),
        patience: Math.round(computeAbandonmentTime(context) - arrivedAt),
        deferred: isDeferred,
    });
    context.trace.record(EventKind.RequestPlaced, {
        reader: prefill?.target.targetId,
        readerWait: prefill && Math.round(prefill.wait),
        readerWork: prefill && Math.round(prefill.work),
        fetchFrom: (prefill ?? decode).fetchFrom?.targetId,
        target: decode.target.targetId,
        wait: Math.round(decode.wait),
        work: Math.round(decode.work),
        firstEvent: Math.round(firstEvent),
        soonest: Math.round(soonestEvent),
        deferred: isDeferred,
        owed: isUnderserved,
        decidedBy,
    });
}

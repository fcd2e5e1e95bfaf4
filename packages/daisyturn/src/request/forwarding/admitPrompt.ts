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
import { type CallContext, createNoTargetFailure, estimateRetryDelay } from "./callContext.js";
import { type CallTiming, computeAbandonmentTime } from "./computeAbandonmentTime.js";
import type { ForwardingParts } from "./forwardingParts.js";

/** The parts of the process that admission uses. */
export type AdmissionParts = Pick<
    ForwardingParts,
    "decisions" | "clock" | "switchedOff" | "availabilityZone" | "stageReturns" | "availability"
>;

/** The context of a call that is to be admitted. */
export interface AdmissionContext
    extends
        CallTiming,
        Pick<CallContext, "service" | "avoid" | "softwareVersion" | "pauseAim" | "trace" | "nextTokenAt"> {
    readonly call: Pick<ForwardedCall, "arrivedAt" | "body">;
    readonly route: CallTiming["route"] & Pick<CallContext["route"], "name">;
}

/** Terms of one placement of a prompt, in addition to the call itself. */
export interface AdmissionTerms {
    readonly prompt: PromptDescription;
    readonly account: TrackedPrompt;
    /** Whether prefill and decode must run at one engine. */
    readonly isWholeOnly: boolean;
    /** Whether the caller has already received events. Such a call is neither refused by a forecast nor deferred. */
    readonly hasStarted: boolean;
}

/** An answer is planned to start within this fraction of its target latency; the rest covers estimation errors. */
const plannedAimFraction = 0.85;
const tooLateMessage = "The answer would begin too late.";

/** Chooses a placement. Refuses the prompt at once if no engine is open or its caller would leave before the answer. */
export async function admitPrompt(
    parts: AdmissionParts,
    context: AdmissionContext,
    terms: AdmissionTerms,
): Promise<Result<PromptPlacement, Failure>> {
    const decision = await parts.decisions.decide(buildDecisionRequest(parts, context, terms));
    if (!decision) {
        const service = context.service.name;
        const delay = estimateRetryDelay(parts, context) ?? parts.stageReturns.estimate(service);
        return err(createNoTargetFailure(context, parts.clock, delay));
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
    { prompt, isWholeOnly, account, hasStarted }: AdmissionTerms,
): DecisionRequest {
    const now = parts.clock.monotonicNow();
    return {
        route: context.route.name,
        demand: {
            service: context.service,
            prompt,
            bodyBytes: context.call.body.length,
            avoid: context.avoid,
            softwareVersion: context.softwareVersion,
            isWholeOnly,
            pauseAim: context.pauseAim,
            aim: context.call.arrivedAt + context.route.latencyAimMilliseconds * plannedAimFraction - now,
            mayDefer: !hasStarted,
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

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
import { type CallRun, describeNoTarget } from "./callRun.js";
import { findLeaveTime, type JudgedCall } from "./findLeaveTime.js";
import type { ForwardingParts } from "./forwardingParts.js";

/** The parts of the process that admission asks. */
export type AdmissionParts = Pick<ForwardingParts, "decisions" | "clock" | "switchedOff" | "availabilityZone">;

/** A call that is to be admitted. */
export interface AdmittedRun extends JudgedCall, Pick<CallRun, "service" | "avoid" | "pauseAim" | "trace"> {
    readonly call: Pick<ForwardedCall, "arrivedAt" | "body">;
    readonly route: JudgedCall["route"] & Pick<CallRun["route"], "name">;
}

/** What one placement of a prompt goes by, beside the call itself. */
export interface AdmissionTerms {
    readonly prompt: PromptDescription;
    readonly account: TrackedPrompt;
    /** Whether both parts have to be done by one engine. */
    readonly isWholeOnly: boolean;
    /** Whether the caller has had events already: then it is not refused by a forecast. */
    readonly hasBegun: boolean;
}

/** An answer is planned to be on time by this part of its aim: the rest covers what estimates are off. */
const aimFraction = 0.85;
const tooLateMessage = "The answer would begin too late.";

/** Chooses the way of a prompt; refuses it at once where no engine is open or its answer would begin after its caller has left. */
export async function admitPrompt(
    parts: AdmissionParts,
    run: AdmittedRun,
    terms: AdmissionTerms,
): Promise<Result<PromptPlacement, Failure>> {
    const decision = await parts.decisions.decide(describeRequest(parts, run, terms));
    if (!decision) {
        return err(describeNoTarget(run, parts.clock));
    }
    recordPlacement(parts, run, decision);
    const { placement: way, lateness } = decision;
    if (lateness > 0 && !terms.hasBegun && !parts.switchedOff.has(Mechanism.RefusalByForecast)) {
        const retryAt = parts.clock.wallNow() + lateness;
        return err(notRun(FailureReason.DeadlineUnreachable, tooLateMessage, retryAt));
    }
    return ok(way);
}

function describeRequest(
    parts: AdmissionParts,
    run: AdmittedRun,
    { prompt, isWholeOnly, account }: AdmissionTerms,
): DecisionRequest {
    const now = parts.clock.monotonicNow();
    return {
        route: run.route.name,
        demand: {
            service: run.service,
            prompt,
            bodyBytes: run.call.body.length,
            avoid: run.avoid,
            isWholeOnly,
            pauseAim: run.pauseAim,
            aim: run.call.arrivedAt + run.route.latencyAimMilliseconds * aimFraction - now,
            mayDefer: true,
            availabilityZone: parts.availabilityZone,
        },
        patience: findLeaveTime(run) - now,
        isUnderserved: account.isUnderserved,
        areLongestUnderserved: account.areLongestUnderserved,
    };
}

function recordPlacement(
    { clock }: AdmissionParts,
    run: AdmittedRun,
    { placement: way, isUnderserved, decidedBy }: PromptDecision,
): void {
    const { prefill: reader, decode: decoder, firstEvent, soonestEvent, isDeferred } = way;
    const { arrivedAt } = run.call;
    run.trace.repeatAtEnd({
        begins: Math.round(clock.monotonicNow() + soonestEvent - arrivedAt),
        patience: Math.round(findLeaveTime(run) - arrivedAt),
        deferred: isDeferred,
    });
    run.trace.record(EventKind.RequestPlaced, {
        reader: reader?.target.targetId,
        readerWait: reader && Math.round(reader.wait),
        readerWork: reader && Math.round(reader.work),
        fetchFrom: (reader ?? decoder).fetchFrom?.targetId,
        target: decoder.target.targetId,
        wait: Math.round(decoder.wait),
        work: Math.round(decoder.work),
        firstEvent: Math.round(firstEvent),
        soonest: Math.round(soonestEvent),
        deferred: isDeferred,
        owed: isUnderserved,
        decidedBy,
    });
}

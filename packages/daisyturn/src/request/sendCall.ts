import { EventKind, type Failure, FailureReason, mayHaveRun, notRun } from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import type { PlainService, ServiceAnswer, ServiceCall } from "../ports/plainService.js";
import { type GuardedCall, RunEnd } from "../process/crashes/index.js";
import type { Service } from "../version/configurationItems.js";
import type { SendPermit } from "./claims/claimManager.js";
import { describeRunEnd, describeRunTarget } from "./guardedRun.js";
import type { RequestParts } from "./requestParts.js";
import { createFailureHistory, isSafeToRetry, isTransientFailure, maxAttempts } from "./retryPolicy.js";

/** A call to be sent, and the conditions for sending it again. */
export interface SentCall {
    readonly requestId: string;
    readonly service: Service;
    readonly call: ServiceCall;
    readonly guarded: GuardedCall;
    readonly idempotent: boolean;
    readonly permit: SendPermit;
    readonly signal: AbortSignal;
}

const minFinalStatus = 200;
const minErrorStatus = 500;
const maxFinalStatus = 599;

/**
 * Sends a call to one target after the other until one answers. After a failure with an unknown outcome, only an
 * idempotent call is sent again.
 */
export async function sendCall(parts: RequestParts, sent: SentCall): Promise<Result<ServiceAnswer, Failure>> {
    const history = createFailureHistory();
    const failed = new Set<string>();
    let call = sent.call;
    for (;;) {
        const targetName = chooseTarget(parts, sent.service, failed);
        const target = targetName === undefined ? undefined : parts.targets.plainService(targetName);
        if (targetName === undefined || !target) {
            const none = notRun(FailureReason.NoTarget, "No target of the service takes work at the moment.");
            return err(history.conclude(none));
        }
        if (!sent.permit.isValid()) {
            const tooLate = notRun(FailureReason.DeadlinePassed, "The call's claim is too old for it to be sent.");
            return err(history.conclude(tooLate));
        }
        const answer = await sendOnce(parts, sent, targetName, target, call);
        if (answer.isOk) {
            return answer;
        }
        const failure = answer.error;
        history.record(failure);
        failed.add(targetName);
        const mayRetry = !sent.signal.aborted && isSafeToRetry(failure, sent.idempotent)
            && isTransientFailure(failure) && history.attempts < maxAttempts
            && parts.crashGuard.mayRepeat(sent.guarded);
        if (!mayRetry || !parts.retryBudget.tryAcquire()) {
            return err(history.conclude(failure));
        }
        call = { ...call, callId: parts.ids.next("call") };
        recordRetry(parts, sent, targetName, failure);
    }
}

/** Sends the call once. There must be no await between the check of the gate by `chooseTarget` and the send. */
async function sendOnce(
    parts: RequestParts,
    sent: SentCall,
    targetName: string,
    target: PlainService,
    call: ServiceCall,
): Promise<Result<ServiceAnswer, Failure>> {
    const leave = parts.gate.enter(targetName);
    const endRun = parts.crashGuard.beginRun(describeRunTarget(parts, targetName), sent.guarded);
    parts.eventLog.record(EventKind.RequestDispatched, {
        request: sent.requestId,
        target: targetName,
        call: call.callId,
    });
    try {
        const answer = await target.invoke(call, sent.signal);
        const isError = answer.isOk && answer.value.status >= minErrorStatus;
        endRun(isError ? RunEnd.Settled : describeRunEnd(answer.isErr ? answer.error : undefined, sent.signal.aborted));
        return answer.andThen(checkAnswer);
    }
    finally {
        leave();
    }
}

/** Treats an answer that cannot be sent to the caller unchanged as a failure of the target. */
function checkAnswer(answer: ServiceAnswer): Result<ServiceAnswer, Failure> {
    const isFinal = answer.status >= minFinalStatus && answer.status <= maxFinalStatus;
    return isFinal
        ? ok(answer)
        : err(mayHaveRun(FailureReason.TargetFailed, "The service answered with a status that is not final."));
}

/** Chooses the open target with the fewest calls of this process. Targets that failed are chosen last. */
function chooseTarget(parts: RequestParts, service: Service, failed: ReadonlySet<string>): string | undefined {
    const open = (service.targets ?? []).filter(name => parts.gate.isOpen(name));
    const untried = open.filter(name => !failed.has(name));
    return (untried.length > 0 ? untried : open).reduce<string | undefined>(
        (best, name) => best !== undefined && parts.gate.inFlight(best) <= parts.gate.inFlight(name) ? best : name,
        undefined,
    );
}

function recordRetry(parts: RequestParts, sent: SentCall, targetName: string, failure: Failure): void {
    parts.eventLog.record(EventKind.RequestRetried, {
        request: sent.requestId,
        target: targetName,
        reason: failure.reason,
        verdict: failure.verdict,
    });
}

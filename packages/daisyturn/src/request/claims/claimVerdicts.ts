import { type Failure, FailureReason, mayHaveRun, notRun } from "daisyturn-utils";
import Result from "true-myth/result";
import type { ServiceAnswer } from "../../ports/plainService.js";
import { type ExaminedClaim, ExaminedKind } from "../../process/claims/index.js";
import { ClaimState, type ClaimView } from "./claimManager.js";

/** The claim was certainly not written to the table service, and the call was not sent. */
export function failWithStoreDown(retryAt: number): Failure {
    const message = "The call did not run: its idempotency key could not be claimed.";
    return notRun(FailureReason.StoreUnavailable, message, retryAt);
}

/**
 * The call did not run and never will, but its key may still be claimed. The failure does not offer a retry with this
 * key: if this process ends before the key is free, the key will be reported as one whose call may have run.
 */
export function failWithKeyStillClaimed(retryAt: number): Failure {
    const message = "The call did not run, but its idempotency key is not free yet. Ask again later with this key, "
        + "or send the call with a new key.";
    return notRun(FailureReason.OutcomeUnknown, message, retryAt);
}

/** A call with this key may be running in any process. The verdict is not NotRun, because that call may run. */
export function failWithAlreadyRunning(retryAt: number): Failure {
    const message = "A call with this idempotency key is running or may be. Ask again later with the same key.";
    return mayHaveRun(FailureReason.AlreadyRunning, message, retryAt);
}

/** The key was used for another call, to which its row belongs. */
export function failWithKeyReused(): Failure {
    const message = "The call did not run: its idempotency key was used before with another call.";
    return notRun(FailureReason.IdempotencyKeyReused, message);
}

/** The answer is lost. Only the target knows whether the call ran. */
export function failWithOutcomeUnknown(): Failure {
    const message = "The call may have run and its answer is lost. It will not be sent again under this key.";
    return mayHaveRun(FailureReason.OutcomeUnknown, message);
}

/** The deadline of the call, or the end of its send window, passed before it was sent. */
export function failWithDeadlinePassed(): Failure {
    return notRun(FailureReason.DeadlinePassed, "The call did not run: its deadline passed before it was sent.");
}

/** Returns the result of a call whose key already has a row. */
export function describeExamined(examined: ExaminedClaim, retryAt: number): Result<ServiceAnswer, Failure> {
    switch (examined.kind) {
        case ExaminedKind.Answered:
            return examined.answer ? Result.ok(examined.answer) : Result.err(failWithAnswerNotStored());
        case ExaminedKind.AnsweredNotKept:
            return Result.err(failWithAnswerNotStored());
        case ExaminedKind.MayHaveRun:
            return Result.err(failWithOutcomeUnknown());
        case ExaminedKind.Running:
            return Result.err(failWithAlreadyRunning(retryAt));
        case ExaminedKind.KeyReused:
            return Result.err(failWithKeyReused());
        case ExaminedKind.Free:
            return Result.err(failWithDeadlinePassed());
    }
}

/** Returns the result of a lookup of a row. */
export function viewExamined(examined: ExaminedClaim): ClaimView {
    switch (examined.kind) {
        case ExaminedKind.Answered:
            return { state: ClaimState.Answered, answer: examined.answer };
        case ExaminedKind.AnsweredNotKept:
            return { state: ClaimState.AnsweredNotKept };
        case ExaminedKind.MayHaveRun:
            return { state: ClaimState.Unknown };
        case ExaminedKind.Running:
        case ExaminedKind.KeyReused:
            return { state: ClaimState.Claimed };
        case ExaminedKind.Free:
            return { state: ClaimState.Absent };
    }
}

function failWithAnswerNotStored(): Failure {
    const message = "The call ran and was answered before, but its answer was too large to be kept.";
    return mayHaveRun(FailureReason.BodyTooLarge, message);
}

import type { Failure } from "daisyturn-utils";
import type { Result } from "true-myth/result";
import type { ServiceAnswer, ServiceCall } from "../../ports/plainService.js";

/** A non-idempotent call, identified by the caller's key. */
export interface ClaimRequest {
    /** Identifies the caller's request in logs and in the claim's row. */
    readonly requestId: string;
    readonly partner: string;
    readonly account: string;
    readonly service: string;
    /** The caller's `Idempotency-Key`. */
    readonly idempotencyKey: string;
    readonly call: ServiceCall;
    /** Monotonic time. */
    readonly deadline: number;
}

/** Permission to send a claimed call. */
export interface SendPermit {
    /**
     * Must be checked right before each send to a target, including a second target after a NotRun. Once false, it
     * stays false, and a call that was not sent must end as NotRun.
     */
    isValid(): boolean;
}

/** Permit for calls that need no claim. */
export const unconditionalPermit: SendPermit = { isValid: () => true };

/** Sends the call once. The verdict of a failure determines the final state of the claim. */
export type SendCall = (call: ServiceCall, permit: SendPermit) => Promise<Result<ServiceAnswer, Failure>>;

/** State of a key, as reported to callers. */
export enum ClaimState {
    Absent = "absent",
    Claimed = "claimed",
    Answered = "answered",
    /** The call ran and was answered, but the answer was too large to be stored. */
    AnsweredNotKept = "answered_not_kept",
    /** The call may have run and its answer is lost. */
    Unknown = "unknown",
}

/** Answer to a caller's lookup of its key. */
export interface ClaimView {
    readonly state: ClaimState;
    readonly answer?: ServiceAnswer;
}

/** Runs non-idempotent calls at most once. */
export interface ClaimManager {
    /** Claims the key, sends the call and records the answer, or replays the recorded answer. */
    runOnce(request: ClaimRequest, send: SendCall): Promise<Result<ServiceAnswer, Failure>>;
    lookUp(partner: string, account: string, service: string, key: string): Promise<Result<ClaimView, Failure>>;
}

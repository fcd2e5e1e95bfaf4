import type { Failure } from "daisyturn-utils";
import type { Result } from "true-myth/result";
import type { ServiceAnswer, ServiceCall } from "../../ports/plainService.js";

/** A non-idempotent call, named by the caller's key. */
export interface ClaimRequest {
    /** Names the caller's request in logs and in the claim's row. */
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

/** Leave to send a claimed call. */
export interface SendPermit {
    /**
     * To be asked right before the call goes to a target, also before a second target after a NotRun. Once false, it
     * stays false, and a call that was not sent must end as NotRun.
     */
    isValid(): boolean;
}

/** For calls that need no claim. */
export const unconditionalPermit: SendPermit = { isValid: () => true };

/** Sends the call, once. Its failure's verdict decides what the claim becomes. */
export type SendCall = (call: ServiceCall, permit: SendPermit) => Promise<Result<ServiceAnswer, Failure>>;

/** What is known of a key. */
export enum ClaimState {
    Absent = "absent",
    Claimed = "claimed",
    Answered = "answered",
    /** It ran and was answered, but the answer was too large to be kept. */
    AnsweredNotKept = "answered_not_kept",
    /** The call may have run and its answer is lost. */
    Unknown = "unknown",
}

/** Answer to a caller's question about its key. */
export interface ClaimView {
    readonly state: ClaimState;
    readonly answer?: ServiceAnswer;
}

/** Runs non-idempotent calls at most once. */
export interface ClaimManager {
    /** Claims, sends, records; or replays the recorded answer. */
    runOnce(request: ClaimRequest, send: SendCall): Promise<Result<ServiceAnswer, Failure>>;
    lookUp(partner: string, account: string, service: string, key: string): Promise<Result<ClaimView, Failure>>;
}

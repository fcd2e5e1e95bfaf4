import type { Failure } from "daisyturn-utils";
import type { Result } from "true-myth/result";
import type { CallerAccount } from "../../version/configurationItems.js";
import type { RoutingRequest } from "../routing/index.js";

/** Leave to go on; `release` must be called once when the request has ended. */
export interface AdmissionTicket {
    release(): void;
}

/** Limits per account, fair share between the partners, and early refusal. */
export interface Admission {
    /** Refusals are NotRun: RateLimited, Overloaded or DeadlineUnreachable, with `retryAt`. */
    admitModelRequest(
        account: CallerAccount,
        request: RoutingRequest,
        signal: AbortSignal,
    ): Promise<Result<AdmissionTicket, Failure>>;
    /** Limits per account only. */
    admitPlainCall(account: CallerAccount): Result<AdmissionTicket, Failure>;
}

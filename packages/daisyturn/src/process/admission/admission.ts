import type { Failure } from "daisyturn-utils";
import type { Result } from "true-myth/result";
import type { CallerAccount } from "../../version/configurationItems.js";
import type { RoutingRequest } from "../routing/index.js";

/** Permission to proceed with a request; `release` must be called once when the request has ended. */
export interface AdmissionTicket {
    release(): void;
}

/** Admission control: limits per client account, fair shares between partners, and early refusal. */
export interface Admission {
    /** Refusals are NotRun: RateLimited, Overloaded or DeadlineUnreachable, with `retryAt`. */
    admitModelRequest(
        account: CallerAccount,
        request: RoutingRequest,
        signal: AbortSignal,
    ): Promise<Result<AdmissionTicket, Failure>>;
    /** Applies only the limits per client account. */
    admitPlainCall(account: CallerAccount): Result<AdmissionTicket, Failure>;
}

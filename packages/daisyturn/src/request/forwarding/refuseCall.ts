import { type Clock, ExecutionVerdict, type Failure, FailureReason } from "daisyturn-utils";
import type { ForwardExchange } from "../../connection/forwarding/forwardExchange.js";
import { buildErrorBody, statusOfFailure } from "../answer/answer.js";

/** These statuses promise that the request has not run and never will. */
const promisingStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const badGatewayStatus = 502;
const gatewayTimeoutStatus = 504;
const millisecondsPerSecond = 1_000;

/** Answers a call with its failure, or breaks an answer off that has begun. */
export function refuseCall(exchange: ForwardExchange, failure: Failure, clock: Clock): void {
    if (exchange.isHeadSent()) {
        exchange.abort();
        return;
    }
    const fields = ["Content-Type", "application/json"];
    if (failure.retryAt !== undefined && failure.verdict === ExecutionVerdict.NotRun) {
        const seconds = Math.max(0, failure.retryAt - clock.wallNow()) / millisecondsPerSecond;
        fields.push("Retry-After", seconds.toFixed(2));
    }
    exchange.answer(chooseStatus(failure), fields, Buffer.from(JSON.stringify(buildErrorBody(failure))));
}

/** The status of a failure, except that none may promise more than the verdict says. */
function chooseStatus(failure: Failure): number {
    if (failure.reason === FailureReason.DeadlinePassed) {
        return gatewayTimeoutStatus;
    }
    const status = statusOfFailure(failure.reason);
    const promises = promisingStatuses.has(status);
    return promises && failure.verdict !== ExecutionVerdict.NotRun ? badGatewayStatus : status;
}

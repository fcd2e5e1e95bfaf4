import { type Clock, ExecutionVerdict, type Failure, FailureReason } from "daisyturn-utils";
import type { ForwardExchange } from "../../connection/forwarding/forwardExchange.js";
import { buildErrorBody, statusOfFailure } from "../answer/answer.js";
import { impliesNotRun } from "./sending/dispatchGate.js";

const badGatewayStatus = 502;
const gatewayTimeoutStatus = 504;
const millisecondsPerSecond = 1_000;
/** Smallest value of the field with two decimals: callers do not take 0 for a time. */
const minRetrySeconds = 0.01;

/** Answers a call with its failure, or breaks off an answer that has already started. */
export function refuseCall(exchange: ForwardExchange, failure: Failure, clock: Clock): void {
    if (exchange.isHeadSent()) {
        exchange.abort();
        return;
    }
    const settled = settleVerdict(exchange, failure);
    const fields = ["Content-Type", "application/json"];
    if (settled.retryAt !== undefined && settled.verdict === ExecutionVerdict.NotRun) {
        const seconds = Math.max(minRetrySeconds, (settled.retryAt - clock.wallNow()) / millisecondsPerSecond);
        fields.push("Retry-After", seconds.toFixed(2));
    }
    exchange.answer(chooseStatus(settled), fields, Buffer.from(JSON.stringify(buildErrorBody(settled))));
}

/** Ends all sending of a call that failed, and returns the failure with the verdict on the whole call. */
export function settleVerdict({ gate }: Pick<ForwardExchange, "gate">, failure: Failure): Failure {
    return gate.close() === ExecutionVerdict.NotRun ? failure : { ...failure, verdict: ExecutionVerdict.MayHaveRun };
}

/** Returns the status of a failure, but never one that guarantees more than the verdict does. */
function chooseStatus(failure: Failure): number {
    if (failure.reason === FailureReason.DeadlinePassed) {
        return gatewayTimeoutStatus;
    }
    const status = statusOfFailure(failure.reason);
    return impliesNotRun(status) && failure.verdict !== ExecutionVerdict.NotRun ? badGatewayStatus : status;
}

import { type Failure, FailureReason, mayHaveRun } from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import { type CallContext, isRepeatable } from "./callContext.js";
import type { EventRelay } from "./eventRelay.js";
import type { TargetReply } from "./sending/callAttempt.js";

/** How a call was answered: by a stream that was already relayed, or by an answer that has yet to be sent. */
export interface CallAnswer {
    readonly isRelayed: boolean;
    readonly reply: TargetReply;
}

const minFailureStatus = 300;
const minErrorStatus = 500;

/** Ends the relay of a stream that its target has ended. Fails if another target may succeed. */
export function finishStream(context: CallContext, relay: EventRelay, reply: TargetReply): Result<CallAnswer, Failure> {
    const { status, forwardedFields } = reply.head;
    if (status < minFailureStatus) {
        relay.end(status, forwardedFields);
        return ok({ isRelayed: true, reply });
    }
    const isError = status >= minErrorStatus;
    if (
        relay.hasStarted()
        || (isError && isRepeatable(context.route) && context.attemptedTargets.size < context.route.maxAttempts)
    ) {
        return err(mayHaveRun(FailureReason.TargetFailed, `The target answered with status ${status}.`));
    }
    return ok({ isRelayed: false, reply });
}

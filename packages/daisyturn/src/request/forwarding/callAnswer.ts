import { type Failure, FailureReason, mayHaveRun } from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import { type CallRun, isRepeatable } from "./callRun.js";
import type { EventRelay } from "./eventRelay.js";
import type { TargetReply } from "./sendToTarget.js";

/** How a call was answered: by a stream that was passed on as it came, or by an answer that is still to be sent. */
export interface CallAnswer {
    readonly isPassedOn: boolean;
    readonly reply: TargetReply;
}

const firstFailureStatus = 300;
const firstErrorStatus = 500;

/** Ends the relay of a stream that its target has ended; fails where another target may do better. */
export function concludeStream(run: CallRun, relay: EventRelay, reply: TargetReply): Result<CallAnswer, Failure> {
    const { status, forwardedFields } = reply.head;
    if (status < firstFailureStatus) {
        relay.end(status, forwardedFields);
        return ok({ isPassedOn: true, reply });
    }
    const isError = status >= firstErrorStatus;
    if (relay.hasBegun() || (isError && isRepeatable(run.route) && run.sentTo.size < run.route.maxAttempts)) {
        return err(mayHaveRun(FailureReason.TargetFailed, `The target answered with status ${status}.`));
    }
    return ok({ isPassedOn: false, reply });
}

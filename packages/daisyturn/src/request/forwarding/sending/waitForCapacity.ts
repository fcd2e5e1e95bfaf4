import { EventKind, type Failure, FailureReason, notRun } from "daisyturn-utils";
import { QueueResult } from "../../../process/shortage/index.js";
import type { CallContext } from "../callContext.js";
import type { ForwardingParts } from "../forwardingParts.js";

/**
 * Waits while all targets of a plain service are full. Returns a failure if the call can't be served before its deadline.
 * A call that resumes a stream does not wait, since its caller has a part of the answer.
 */
export async function waitForCapacity(
    { shortage, clock }: ForwardingParts,
    context: CallContext,
): Promise<Failure | undefined> {
    const { service, priority, deadline, signal, trace } = context;
    const call = { service: service.name, account: context.call.account, priority, deadline, signal };
    if (context.isResumption || signal.aborted || shortage.mayPass(call)) {
        return undefined;
    }
    trace.record(EventKind.RequestQueued, { waiting: shortage.countWaiting(), priority });
    const { result, retryAt = clock.monotonicNow() } = await shortage.wait(call);
    if (result === QueueResult.Refused) {
        const message = `All targets of service ${service.name} are full, and the call could not be served in time.`;
        return notRun(FailureReason.Overloaded, message, clock.wallNow() + retryAt - clock.monotonicNow());
    }
    return result === QueueResult.Left ? signal.reason as Failure : undefined;
}

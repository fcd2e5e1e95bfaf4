import { type Failure, FailureReason, notRun } from "daisyturn-utils";
import { type CallContext, isRepeatable } from "../callContext.js";
import type { ForwardingParts } from "../forwardingParts.js";

/** How much longer than the longest recent call of its route a call is expected to take at most. */
const repeatableFactor = 1;
/** Such a call is lost to its caller if it is cut, so calls that would still have ended are refused as well. */
const onceOnlyFactor = 2;

/**
 * Refuses a call that may last beyond the end of a process that stops. Its deadline decides once the load balancer sends
 * callers elsewhere. Before that, most calls come back here, and few take as long as their deadline allows, so the longest
 * recent call of the route decides, if it is known.
 */
export function checkProcessEnd(
    { clock, runDurations }: Pick<ForwardingParts, "clock" | "runDurations">,
    { call, route, deadline, exchange }: Pick<CallContext, "call" | "route" | "deadline" | "exchange">,
): Failure | undefined {
    const stop = exchange.stop();
    if (!stop || deadline <= stop.endsAt) {
        return undefined;
    }
    const now = clock.monotonicNow();
    const longest = now < stop.noticedAt ? runDurations.longest(route.name, now) : undefined;
    const factor = isRepeatable(route) ? repeatableFactor : onceOnlyFactor;
    if (longest !== undefined && call.arrivedAt + longest * factor <= stop.endsAt) {
        return undefined;
    }
    const message = "This process is stopping before the call may be over; ask again elsewhere.";
    return notRun(FailureReason.OutOfService, message, clock.wallNow());
}

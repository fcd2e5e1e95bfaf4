import { type Clock, ExecutionVerdict, type Failure, FailureReason, notRun } from "daisyturn-utils";
import type { HeldAnswer } from "../../connection/bytes/createAnswerMemory.js";
import type { ForwardExchange } from "../../connection/forwarding/forwardExchange.js";
import type { ForwardedCall } from "../../ports/forwardedCall.js";
import type { ListedTarget } from "../../ports/listedTarget.js";
import type { GuardedCall } from "../../process/crashes/index.js";
import type { TargetAvailability } from "../../process/forwarding/index.js";
import { CallKind, type ForwardRoute, type ForwardService } from "../../version/forwarding/forwardingConfiguration.js";
import { createFailureHistory, type FailureHistory } from "../retryPolicy.js";
import { guardForwardedCall } from "./guardForwardedCall.js";
import type { RequestTrace } from "./requestTrace.js";
import { type CallArrivals, createCallArrivals } from "./retries/callArrivals.js";

/** A forwarded call that is being served, and the results of its attempts. */
export interface CallContext {
    readonly call: ForwardedCall;
    /** The call as `CrashGuard` follows it. */
    readonly guarded: GuardedCall;
    readonly route: ForwardRoute;
    /** Priority of the call: that of its client account or, if it has none, of its route. */
    readonly priority: number;
    readonly service: ForwardService;
    /** Smallest target pause of the routes of the service, in milliseconds. */
    readonly pauseAim: number;
    readonly exchange: ForwardExchange;
    /** What this process holds of the answer. */
    readonly heldAnswer: HeldAnswer;
    /** Aborted with a `Failure` as its reason once the caller has disconnected or the deadline has passed. */
    readonly signal: AbortSignal;
    /** Monotonic time by which the answer must be complete. */
    readonly deadline: number;
    readonly history: FailureHistory;
    readonly trace: RequestTrace;
    /** Targets that failed this call, or that had no token for it. */
    readonly avoid: Set<string>;
    /** Targets to which this call was sent to be run. Prefills are not counted. */
    readonly attemptedTargets: Set<string>;
    readonly arrivals: CallArrivals;
    /** Whether the call resumes a stream. Such a call is neither refused by a forecast nor deferred. */
    readonly isResumption: boolean;
    /** The only software version that may continue the stream; undefined while the stream has not begun. */
    softwareVersion?: string;
    /** Monotonic time at which the first of the targets without a token for this call is expected to have one. */
    nextTokenAt?: number;
    /** The target to which the call was last sent to be run. */
    target?: ListedTarget;
    /** Whether that target's incarnation was confirmed when the call was sent. */
    isTargetConfirmed?: boolean;
    /** Whether the call was counted as one that began to run. */
    isRunCounted?: boolean;
}

/** A target that restarts needs a few seconds. */
const noTargetRetryDelayMilliseconds = 1_500;
/** Creates the context of a call before its first attempt. */
export function createCallContext(
    start: Omit<CallContext, "guarded" | "history" | "avoid" | "attemptedTargets" | "arrivals" | "target">,
): CallContext {
    return {
        ...start,
        guarded: guardForwardedCall(start.call),
        history: createFailureHistory(),
        avoid: new Set(),
        attemptedTargets: new Set(),
        arrivals: createCallArrivals(),
    };
}

/** Whether a call that may have run may be sent again; a stream is resumed after its last event. */
export function isRepeatable(route: ForwardRoute): boolean {
    return route.kind === CallKind.Idempotent || (route.kind === CallKind.Stream && route.isResumable);
}

/** Creates the final failure of a call: the reason why it ended, and whether any attempt may have run. */
export function createFinalFailure(context: CallContext, last: Failure): Failure {
    return context.history.conclude(context.signal.aborted ? context.signal.reason as Failure : last);
}

/** Returns the milliseconds until the first target of a service ends its rest; undefined if one takes work, or none rests. */
export function estimateReturn(
    { availability, clock }: { readonly availability: Pick<TargetAvailability, "nextAt">; readonly clock: Clock; },
    service: string,
): number | undefined {
    const nextAt = availability.nextAt(service);
    return nextAt === undefined ? undefined : Math.max(0, nextAt - clock.monotonicNow());
}

/**
 * Returns the milliseconds until a target of the service is expected to take a call that none takes now; undefined if
 * that is not known.
 */
export function estimateRetryDelay(
    parts: { readonly availability: Pick<TargetAvailability, "nextAt" | "nextThrottleEnd">; readonly clock: Clock; },
    { service, nextTokenAt }: Pick<CallContext, "service" | "nextTokenAt">,
): number | undefined {
    const nextAt = parts.availability.nextAt(service.name)
        ?? parts.availability.nextThrottleEnd(service.name)
        ?? nextTokenAt;
    return nextAt === undefined ? undefined : Math.max(0, nextAt - parts.clock.monotonicNow());
}

/** Creates the failure of a call for which no target is open. */
export function createNoTargetFailure(
    { service, softwareVersion, nextTokenAt }: Pick<CallContext, "service" | "softwareVersion" | "nextTokenAt">,
    clock: Clock,
    retryDelay = noTargetRetryDelayMilliseconds,
): Failure {
    const which = softwareVersion === undefined ? "" : " with the software version that began the stream";
    const state = nextTokenAt === undefined ? "open" : "open and below the limit that it names";
    const message = `No target of service ${service.name}${which} is ${state}.`;
    return notRun(FailureReason.NoTarget, message, clock.wallNow() + retryDelay);
}

/** Whether a failed attempt had reached its target. */
export function hasReachedTarget(failure: Failure): boolean {
    return failure.verdict === ExecutionVerdict.MayHaveRun || failure.reason === FailureReason.TargetRefused;
}

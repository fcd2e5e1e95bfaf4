import { EventKind, type Failure, FailureReason, notRun } from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import type { ForwardedCall } from "../../../ports/forwardedCall.js";
import type { FoundOrigin } from "../../../process/forwarding/index.js";
import { chooseService } from "../../../version/forwarding/createRouteTable.js";
import { CallKind, type ForwardRoute } from "../../../version/forwarding/forwardingConfiguration.js";
import type { ForwardingParts } from "../forwardingParts.js";
import type { RequestTrace } from "../requestTrace.js";
import { identifyOwnedStream, identifyStream } from "./recordOrigin.js";

/** The targets that may serve a call. */
export interface CallDestination extends Partial<Pick<FoundOrigin, "softwareVersion">> {
    readonly service: string;
}

/** The parts of the process that {@link findDestination} uses. */
export type ResumptionParts = Pick<ForwardingParts, "findOrigin" | "metrics" | "clock">;

/** By then, another process may have answered that did not answer now. */
const unknownOriginRetryDelayMilliseconds = 200;
/** A stream whose service no longer serves the route is continued only if the operators move the route back. */
const movedRouteRetryDelayMilliseconds = 1_500;

/** Callers choose the identifiers. */
const maxLoggedIdLength = 80;

/** Whether a call resumes a stream of which its caller has events. */
export function isResumption(route: ForwardRoute, { lastEventId, resumedCallId }: ForwardedCall): boolean {
    return route.kind === CallKind.Stream && route.isResumable
        && (lastEventId !== undefined || resumedCallId !== undefined);
}

/**
 * Chooses the service for a call. A call that resumes a stream goes to the service and the software version that began
 * it, since what others write does not fit. It is refused if no process knows them: a guess could join two versions.
 */
export async function findDestination(
    parts: ResumptionParts,
    route: ForwardRoute,
    call: ForwardedCall,
    trace: RequestTrace,
): Promise<Result<CallDestination | undefined, Failure>> {
    const service = chooseService(route, call.callId);
    if (service === undefined || !isResumption(route, call)) {
        return ok(service === undefined ? undefined : { service });
    }
    const streamId = identifyStream(call);
    const origin = await parts.findOrigin(streamId, service);
    const destination = await isForeign(parts, route, call, service, origin)
        ? err(notRun(FailureReason.Unauthenticated, "Another account began the stream."))
        : checkOrigin(parts, route, origin);
    parts.metrics.recordResumption(destination.isOk ? "placed" : destination.error.reason);
    trace.record(EventKind.RequestResumed, {
        resumes: call.resumedCallId?.slice(0, maxLoggedIdLength),
        lastEvent: call.lastEventId?.slice(0, maxLoggedIdLength),
        stream: streamId,
        service: origin?.service,
        softwareVersion: origin?.softwareVersion,
        knownBy: origin?.knownBy,
        reason: destination.isErr ? destination.error.reason : undefined,
    });
    return destination;
}

/**
 * Whether a process knows that another account began the stream. Only then is it looked up once more: a caller's own
 * stream is found by the first lookup.
 */
async function isForeign(
    parts: ResumptionParts,
    { isPublic }: ForwardRoute,
    call: ForwardedCall,
    service: string,
    origin: FoundOrigin | undefined,
): Promise<boolean> {
    if (origin?.knownBy !== undefined || (call.account === undefined && !isPublic)) {
        return false;
    }
    const owned = await parts.findOrigin(identifyOwnedStream(call), service);
    return owned?.account !== undefined && owned.account !== call.account;
}

function checkOrigin(
    { clock }: ResumptionParts,
    route: ForwardRoute,
    origin: FoundOrigin | undefined,
): Result<CallDestination, Failure> {
    const services = route.shares.filter(({ weight }) => weight > 0).map(({ service }) => service);
    // A service that has had only one version says nothing about streams of the route's other services.
    const isCertain = origin !== undefined && (origin.knownBy !== undefined || services.length === 1);
    if (!isCertain) {
        const message = "No process knows which software version began the stream.";
        const retryAt = clock.wallNow() + unknownOriginRetryDelayMilliseconds;
        return err(notRun(FailureReason.UnknownOrigin, message, retryAt));
    }
    if (!services.includes(origin.service)) {
        const message = `The route no longer leads to service ${origin.service}, which began the stream.`;
        const retryAt = clock.wallNow() + movedRouteRetryDelayMilliseconds;
        return err(notRun(FailureReason.NoTarget, message, retryAt));
    }
    return ok({ service: origin.service, softwareVersion: origin.softwareVersion });
}

import { createHash } from "node:crypto";
import type { ForwardedCall } from "../../../ports/forwardedCall.js";
import { unconfirmedVersionPrefix } from "../../../ports/listedTarget.js";
import { type CallContext, isRepeatable } from "../callContext.js";
import type { ForwardingParts } from "../forwardingParts.js";
import { readCredentials } from "../guardForwardedCall.js";

/** 96 bits, so that nobody can find another stream with the same identifier. */
const streamIdBytes = 12;

/**
 * Identifies a stream by its caller and by the call that brought its first event, which callers name when they resume
 * it. A caller can't learn anything about the streams of others, because its own credentials are part of it.
 */
export function identifyStream(call: ForwardedCall): string {
    const { callId, resumedCallId, host } = call;
    return digest([host.toLowerCase(), readCredentials(call), resumedCallId ?? callId]);
}

/**
 * Identifies a stream among those of all accounts, to find out that another account began it. Callers choose the
 * identifiers of their calls, so streams of two accounts may have the same one.
 */
export function identifyOwnedStream({ callId, resumedCallId, host }: ForwardedCall): string {
    return digest(["any account", host.toLowerCase(), resumedCallId ?? callId]);
}

function digest(identity: readonly unknown[]): string {
    const hash = createHash("sha256").update(JSON.stringify(identity)).digest();
    return hash.subarray(0, streamIdBytes).toString("base64url");
}

/**
 * Records which software version began a stream, before its first event is sent to the caller. Where another incarnation
 * than the listed one may have begun it, the version is one that no target has, so that nobody continues the stream.
 */
export function recordOrigin(
    { origins, continuity }: Pick<ForwardingParts, "origins" | "continuity">,
    context: CallContext,
): void {
    const { target, call } = context;
    if (!target || !isRepeatable(context.route)) {
        return;
    }
    const isConfirmed = context.isTargetConfirmed === true && !continuity.hasRestarted(target.targetId);
    const softwareVersion = isConfirmed ? target.softwareVersion : unconfirmedVersionPrefix + target.targetId;
    context.softwareVersion = softwareVersion;
    const origin = {
        service: context.service.name,
        softwareVersion,
        deadline: call.deadline,
    };
    origins.record({ ...origin, streamId: identifyStream(call) });
    if (call.account !== undefined) {
        origins.record({ ...origin, streamId: identifyOwnedStream(call), account: call.account });
    }
}

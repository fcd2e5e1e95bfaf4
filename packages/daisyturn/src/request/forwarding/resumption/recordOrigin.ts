import { createHash } from "node:crypto";
import type { ForwardedCall } from "../../../ports/forwardedCall.js";
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
    const identity = JSON.stringify([host.toLowerCase(), readCredentials(call), resumedCallId ?? callId]);
    return createHash("sha256").update(identity).digest().subarray(0, streamIdBytes).toString("base64url");
}

/** Records which software version began a stream, before its first event is sent to the caller. */
export function recordOrigin({ origins }: Pick<ForwardingParts, "origins">, context: CallContext): void {
    const { target, call } = context;
    if (!target || !isRepeatable(context.route)) {
        return;
    }
    context.softwareVersion = target.softwareVersion;
    origins.record({
        streamId: identifyStream(call),
        service: context.service.name,
        softwareVersion: target.softwareVersion,
        deadline: call.deadline,
    });
}

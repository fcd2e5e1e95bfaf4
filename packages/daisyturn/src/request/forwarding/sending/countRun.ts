import type { ReplyHead } from "../../../ports/forwardedCall.js";
import type { CallContext } from "../callContext.js";
import type { ForwardingParts } from "../forwardingParts.js";
import type { CallAttempt } from "./callAttempt.js";

/**
 * Counts a call that began to run, once. The answer of a plain call begins when the call has run, so its beginning is
 * taken to lie halfway between the send and the answer.
 */
export function countRun(
    { recordUsage, clock }: Pick<ForwardingParts, "recordUsage" | "clock">,
    context: Pick<CallContext, "call" | "isRunCounted">,
    { terms, onChunk }: Pick<CallAttempt, "terms" | "onChunk">,
    head: Pick<ReplyHead, "isNotRun"> | undefined,
    sentAt: number,
): void {
    const { account } = context.call;
    if (!recordUsage || account === undefined || context.isRunCounted || terms.prefillOnly || !head || head.isNotRun) {
        return;
    }
    context.isRunCounted = true;
    const now = clock.monotonicNow();
    recordUsage(account, onChunk ? now : now - (now - sentAt) / 2);
}

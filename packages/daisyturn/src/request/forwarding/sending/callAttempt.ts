import type { StartedSend } from "../../../connection/target/openTargetConnection.js";
import type { ReplyHead, SendTerms } from "../../../ports/forwardedCall.js";
import type { ListedTarget } from "../../../ports/listedTarget.js";
import { type CallCost, SendPart } from "../../../process/forwarding/index.js";

/** One attempt to have a target run a call. */
export interface CallAttempt {
    readonly target: ListedTarget;
    readonly terms: Omit<SendTerms, "targetName" | "remainingMilliseconds">;
    /** Whether the attempt may be aborted when the target falls silent, because another target can repeat it. */
    readonly isRepeatable: boolean;
    readonly cost: CallCost;
    /** Receives the chunks of a successful answer as they arrive. If absent, they are collected. */
    readonly onChunk?: (head: ReplyHead, piece: Buffer) => void;
    /** Whether what `onChunk` has received may be a whole answer; any may if absent. */
    readonly isWhole?: () => boolean;
    /** Bytes that `onChunk` has received and that wait for the rest of their event; none if absent. */
    readonly heldBytes?: () => number;
    /** Called at the first bytes of the answer's body, when the expensive work is done. */
    readonly onFirstByte?: () => void;
}

/** A complete answer of a target. */
export interface TargetReply {
    readonly head: ReplyHead;
    /** Empty if the chunks were passed to `onChunk`. */
    readonly body: readonly Buffer[];
}

/** The connection over which a call is sent. */
export interface SendRoute {
    /** Set once the call is sent, so that it may have reached the target. */
    started?: StartedSend;
    /** Whether the connection is a direct one over a link that is lost. */
    readonly isLinkLost: () => boolean;
}

export function describePart({ terms }: CallAttempt): SendPart {
    return terms.prefillOnly ? SendPart.Prefill : terms.kvSource ? SendPart.Decode : SendPart.Whole;
}

import { type Clock, type JsonObject, toJson } from "daisyturn-utils";
import { z } from "zod";
import { PeerMethod, type PeerNetwork, type ProcessIdentity } from "../peers/index.js";
import { answerSchema } from "./claimRow.js";
import { ClaimStage, type OwnClaims } from "./ownClaims.js";
import { waitUntilResolved } from "./waitUntilResolved.js";

/** How long the owner delays its reply while the call runs, so that the requester is informed as soon as it ends. */
export const maxInquiryWaitMilliseconds = 1_000;
/** Additional allowance for network time. */
const inquiryNetworkMilliseconds = 500;

/** State of a claim in its owner's reply. */
export enum InquiryReplyKind {
    Running = "running",
    Answered = "answered",
    MayHaveRun = "may_have_run",
    /** The call was not sent and never will be. */
    NotSent = "not_sent",
    /** The claim is unknown to the owner: it sends nothing for it any more, and the row has all that is known. */
    Forgotten = "forgotten",
    /** The requested incarnation has ended; a later one of the same process replied. */
    Ended = "ended",
    NoReply = "no_reply",
}

const inquirySchema = z.object({ rowKey: z.string(), claimId: z.string(), incarnation: z.string() });

const replySchema = z.object({ kind: z.enum(InquiryReplyKind), answer: answerSchema.optional() });

/** Identifies a claim and the incarnation that owns it. */
export type ClaimInquiry = z.infer<typeof inquirySchema>;

export type InquiryReply = z.infer<typeof replySchema>;

/** Registers the handler that replies to inquiries of peers about the claims of this process. */
export function handleInquiries(network: PeerNetwork, self: ProcessIdentity, claims: OwnClaims, clock: Clock): void {
    network.handle(PeerMethod.AskClaim, async (...[, parameters]) => {
        const inquiry = inquirySchema.parse(parameters);
        return toJson(await replyToInquiry(inquiry, self, claims, clock));
    });
}

/** Returns the state of a claim whose row names this process as the owner; waits a limited time for a running call. */
export async function replyToInquiry(
    inquiry: ClaimInquiry,
    self: ProcessIdentity,
    claims: OwnClaims,
    clock: Clock,
): Promise<InquiryReply> {
    if (inquiry.incarnation !== self.incarnation) {
        const isLater = self.incarnation > inquiry.incarnation;
        return { kind: isLater ? InquiryReplyKind.Ended : InquiryReplyKind.NoReply };
    }
    const claim = claims.find(inquiry.rowKey);
    if (claim?.claimId !== inquiry.claimId) {
        return { kind: InquiryReplyKind.Forgotten };
    }
    await waitUntilResolved(claim.ended, clock, clock.monotonicNow() + maxInquiryWaitMilliseconds);
    switch (claim.stage()) {
        case ClaimStage.Claiming:
        case ClaimStage.Sending:
            return { kind: InquiryReplyKind.Running };
        case ClaimStage.Answered:
            return { kind: InquiryReplyKind.Answered, answer: claim.answer() };
        case ClaimStage.MayHaveRun:
            return { kind: InquiryReplyKind.MayHaveRun };
        case ClaimStage.NotSent:
            return { kind: InquiryReplyKind.NotSent };
    }
}

/**
 * Requests the state of a claim from its owner.
 * @param deadline monotonic time
 */
export async function queryOwner(
    network: PeerNetwork,
    owner: ProcessIdentity,
    inquiry: ClaimInquiry,
    clock: Clock,
    deadline: number,
): Promise<InquiryReply> {
    const limit = clock.monotonicNow() + maxInquiryWaitMilliseconds + inquiryNetworkMilliseconds;
    const parameters: JsonObject = toJson(inquiry);
    const reply = await network.request(
        owner.processId,
        PeerMethod.AskClaim,
        parameters,
        Math.min(deadline, limit),
    );
    const parsed = replySchema.safeParse(reply.unwrapOr({}));
    return parsed.success ? parsed.data : { kind: InquiryReplyKind.NoReply };
}

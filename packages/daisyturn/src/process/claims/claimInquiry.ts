import { type Clock, type JsonObject, toJson } from "daisyturn-utils";
import { z } from "zod";
import { PeerMethod, type PeerNetwork, type ProcessIdentity } from "../peers/index.js";
import { answerSchema } from "./claimRow.js";
import { ClaimStage, type OwnClaims } from "./ownClaims.js";
import { waitUntilResolved } from "./waitUntilResolved.js";

/** How long the owner holds an inquiry back while its call runs, so that the asker hears of the end at once. */
export const maxInquiryWaitMilliseconds = 1_000;
/** What the network may take on top of that. */
const inquiryNetworkMilliseconds = 500;

/** What the owner of a claim says of it. */
export enum InquiryReplyKind {
    Running = "running",
    Answered = "answered",
    MayHaveRun = "may_have_run",
    /** It was not sent and never will be. */
    NotSent = "not_sent",
    /** Unknown to the owner: it never will be sent, and what is known of it stands in the row. */
    Forgotten = "forgotten",
    /** The asked run of the process has ended; a later one answers. */
    Ended = "ended",
    /** No answer. */
    NoReply = "no_reply",
}

const inquirySchema = z.object({ rowKey: z.string(), claimId: z.string(), incarnation: z.string() });

const replySchema = z.object({ kind: z.enum(InquiryReplyKind), answer: answerSchema.optional() });

/** Names the claim that is asked about. */
export type ClaimInquiry = z.infer<typeof inquirySchema>;

/** The owner's reply. */
export type InquiryReply = z.infer<typeof replySchema>;

/** Answers the inquiries of peers from the table of this process's claims. */
export function handleInquiries(network: PeerNetwork, self: ProcessIdentity, claims: OwnClaims, clock: Clock): void {
    network.handle(PeerMethod.AskClaim, async (...[, parameters]) => {
        const inquiry = inquirySchema.parse(parameters);
        return toJson(await replyToInquiry(inquiry, self, claims, clock));
    });
}

/** What this process knows of a claim that its rows name it the owner of. */
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

/** Asks a claim's owner, within the deadline (monotonic). */
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

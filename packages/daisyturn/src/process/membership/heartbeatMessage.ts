import { z } from "zod";
import { processIdentitySchema } from "../peers/index.js";

/** Proof that an incarnation has ended. */
export enum EndProof {
    /** It announced that it leaves. */
    Left = "left",
    /** A newer incarnation runs at its address. */
    Restarted = "restarted",
    /** The platform's VM list no longer contains its VM. */
    VmGone = "vm_gone",
}

/** State that the sender of a heartbeat attributed to the receiver until contact resumed. */
export enum FalseSuspicion {
    Suspect = "suspect",
    Dead = "dead",
    /** The sender has proof that this incarnation has ended, and does not revise it. */
    Ended = "ended",
}

const maxMembersPerMessage = 1_024;

const memberEntrySchema = z.object({
    identity: processIdentitySchema(),
    ended: z.enum(EndProof).optional(),
});

/** Information about a member, as sent between processes. */
export type MemberEntry = z.infer<typeof memberEntrySchema>;

/** Schema of the parameters of a heartbeat; unknown fields are ignored, so that newer versions may add fields. */
export const heartbeatSchema = z.object({
    /** Hash of the members known to the sender, for detecting differences. */
    view: z.string(),
    /** All members, sent when the views differ. */
    members: z.array(memberEntrySchema).max(maxMembersPerMessage).optional(),
    /** Names the incarnation, because a message for an earlier one may reach a later one with the same process id. */
    misjudged: z.object({ incarnation: z.string(), as: z.enum(FalseSuspicion) }).optional(),
    /** Digests of other modules by name; only those that the receiver lacks or that are due for repetition. */
    digests: z.record(z.string(), z.record(z.string(), z.unknown())).optional(),
});

export type HeartbeatMessage = z.infer<typeof heartbeatSchema>;

/** Schema of the parameters of a query about a suspected member. */
export const suspicionQuerySchema = z.object({ processId: z.string(), incarnation: z.string() });

/** Schema of the answer to a query about a suspected member. */
export const suspicionAnswerSchema = z.object({
    /** Time since the answering process last received a message from that incarnation; absent if it never did. */
    heardMillisecondsAgo: z.number().optional(),
});

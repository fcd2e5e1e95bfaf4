import { z } from "zod";
import { processIdentitySchema } from "../peers/index.js";

/** Why a run of a process is known to have ended. */
export enum EndProof {
    /** It said itself that it leaves. */
    Left = "left",
    /** A newer incarnation stands at its address. */
    Restarted = "restarted",
    /** The platform's list no longer shows its VM. */
    VmGone = "vm_gone",
}

/** What the sender of a heartbeat thought of the receiver until it heard from it again. */
export enum FalseSuspicion {
    Suspect = "suspect",
    Dead = "dead",
    /** The sender has proof that this run has ended and stays with it. */
    Ended = "ended",
}

const maxMembersPerMessage = 1_024;

const memberEntrySchema = z.object({
    identity: processIdentitySchema,
    ended: z.enum(EndProof).optional(),
});

/** What one process tells another of a member. */
export type MemberEntry = z.infer<typeof memberEntrySchema>;

/** Checks the parameters of a heartbeat; unknown fields are left out, so that newer processes may send more. */
export const heartbeatSchema = z.object({
    /** Hash of the members that the sender knows of; sent so that differences are noticed. */
    view: z.string(),
    /** All members, sent when the views differ. */
    members: z.array(memberEntrySchema).max(maxMembersPerMessage).optional(),
    /** Names the run, because a message for an earlier run may reach a later one under the same process id. */
    misjudged: z.object({ incarnation: z.string(), as: z.enum(FalseSuspicion) }).optional(),
    /** Contributions of other modules by name; only those that changed. */
    digests: z.record(z.string(), z.record(z.string(), z.unknown())).optional(),
});

/** Parameters of a heartbeat. */
export type HeartbeatMessage = z.infer<typeof heartbeatSchema>;

/** Checks the parameters of a question about a suspected member. */
export const suspicionQuerySchema = z.object({ processId: z.string(), incarnation: z.string() });

/** Checks the answer. */
export const suspicionAnswerSchema = z.object({
    /** Milliseconds since the asked process last heard from that run; absent if it never did. */
    heardMillisecondsAgo: z.number().optional(),
});

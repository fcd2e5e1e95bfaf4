import { type Clock, type Failure, FailureReason, notRun } from "daisyturn-utils";
import { createHmac, timingSafeEqual } from "node:crypto";
import { err, ok, type Result } from "true-myth/result";
import { z } from "zod";
import type { CallerAccount } from "../../version/configurationItems.js";
import { CompletionForm } from "../completion/parseCompletion.js";

const ticketSchema = z.object({
    partner: z.string(),
    account: z.string(),
    /** Id of the request that started the answer; all chunks of the answer carry it. */
    requestId: z.string(),
    form: z.enum(CompletionForm),
    serviceName: z.string(),
    includeUsage: z.boolean(),
    /** Wall-clock time, in milliseconds, at which the answer was started. */
    createdAt: z.number(),
    /** Fingerprint of the request, so that the answer is not continued for another request. */
    requestHash: z.string(),
    engine: z.string(),
    streamId: z.string(),
    /** Number of tokens delivered before this stream started; the stream does not contain them. */
    offset: z.int().min(0),
    /** Software version of the engine; absent in tickets of earlier versions of this program. */
    softwareVersion: z.string().optional(),
    /** Wall-clock time, in milliseconds, from which the ticket is refused. */
    expiresAt: z.number(),
});

/** The data that another entry process needs to continue an answer. */
export type ResumeTicket = z.infer<typeof ticketSchema>;

/** Signs tickets as tokens and verifies tokens. */
export interface ResumeTokens {
    sign(ticket: ResumeTicket): string;
    /** Refuses a token that was not signed by the fleet, has expired or belongs to another account. */
    verify(token: string, account: CallerAccount): Result<ResumeTicket, Failure>;
}

const maxTokenLength = 4096;
const tokenPattern = /^([\w-]+)\.([\w-]+)$/;

/**
 * Creates the resume tokens of one process. All entry processes share the keys.
 * @param keys the first key signs; tokens signed with any other, older or newer, are also accepted, so that keys can be
 * rotated one process at a time
 */
export function createResumeTokens(keys: readonly string[], clock: Clock): ResumeTokens {
    const signingKey = keys[0];
    if (signingKey === undefined || keys.some(key => key === "")) {
        throw new Error("At least one key, and no empty one, is needed to sign resume tokens.");
    }

    const isSigned = (payload: string, signature: Buffer) =>
        keys.some(key => {
            const expected = computeSignature(key, payload);
            return expected.length === signature.length && timingSafeEqual(expected, signature);
        });

    const verify = (token: string, account: CallerAccount): Result<ResumeTicket, Failure> => {
        const [, payload, signature] = token.length > maxTokenLength ? [] : tokenPattern.exec(token) ?? [];
        if (payload === undefined || signature === undefined) {
            return refuse(FailureReason.BadRequest, "The resume token is malformed.");
        }
        if (!isSigned(payload, Buffer.from(signature, "base64url"))) {
            return refuse(FailureReason.BadRequest, "The resume token was not signed by this fleet.");
        }
        const ticket = ticketSchema.safeParse(JSON.parse(Buffer.from(payload, "base64url").toString("utf8")));
        if (!ticket.success) {
            return refuse(FailureReason.BadRequest, "The resume token is of another version.");
        }
        if (ticket.data.partner !== account.partner || ticket.data.account !== account.name) {
            return refuse(FailureReason.Forbidden, "The resume token belongs to another account.");
        }
        if (ticket.data.expiresAt <= clock.wallNow()) {
            return refuse(FailureReason.DeadlinePassed, "The resume token has expired.");
        }
        return ok(ticket.data);
    };

    return {
        sign: ticket => {
            const payload = Buffer.from(JSON.stringify(ticket)).toString("base64url");
            return `${payload}.${computeSignature(signingKey, payload).toString("base64url")}`;
        },
        verify,
    };
}

function computeSignature(key: string, payload: string): Buffer {
    return createHmac("sha256", key).update(payload).digest();
}

function refuse(reason: FailureReason, message: string): Result<ResumeTicket, Failure> {
    return err(notRun(reason, message));
}

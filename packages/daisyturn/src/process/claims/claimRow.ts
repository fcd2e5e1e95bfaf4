import { type Failure, FailureReason, hashText, type JsonValue, notRun, toJson } from "daisyturn-utils";
import { z } from "zod";
import type { ServiceAnswer, ServiceCall } from "../../ports/plainService.js";
import type { ProcessIdentity } from "../peers/index.js";
import type { ClaimLimits } from "./claimLimits.js";
import type { OwnClaim } from "./ownClaims.js";

/** All claim rows of the table service start with this. */
export const claimRowPrefix = "claims/";

/** Keys must fit a row's key after escaping, and a log line. */
const validIdempotencyKey = /^[\x21-\x7e]{1,255}$/;

/** What a claim's row says. */
export enum ClaimRowState {
    /** The owner is about to send the call, or has sent it. */
    Claimed = "claimed",
    Answered = "answered",
    /** The call may have run and its answer is lost. */
    Unknown = "unknown",
    /** The call did not run; the next claimant may write over the row. */
    Free = "free",
}

const ownerSchema = z.object({
    processId: z.string(),
    incarnation: z.string(),
    vmId: z.string(),
    availabilityZone: z.string(),
    peerAddress: z.string(),
});

/** An answer as it is kept in rows and sent between peers. */
export const answerSchema = z.object({ status: z.number(), contentType: z.string(), body: z.string() });

const claimRowSchema = z.object({
    state: z.enum(ClaimRowState),
    /** Names one attempt to run the call. Never used twice. */
    claimId: z.string(),
    /** Id of the caller's request: what the logs name it by. */
    requestId: z.string(),
    /** Hash of all of the call that the caller chose. */
    callHash: z.string(),
    owner: ownerSchema,
    /** With Answered, unless the answer was too large to be kept. */
    answer: answerSchema.optional(),
    /** With Unknown, where another process wrote it in place of the owner. */
    settledBy: z.string().optional(),
    /** Wall-clock time, in milliseconds, after which the row may be deleted. A Claimed row has none. */
    keepUntil: z.number().optional(),
});

/** Value of a claim's row. */
export type ClaimRow = z.infer<typeof claimRowSchema>;

/** Who a key belongs to. */
export interface ClaimScope {
    readonly partner: string;
    readonly account: string;
    readonly service: string;
    readonly idempotencyKey: string;
}

/** Key of the claim's row. Each part is escaped, so that no caller's key reaches another's row. */
export function formatClaimRowKey(scope: ClaimScope): string {
    const parts = [scope.partner, scope.account, scope.service, scope.idempotencyKey];
    return claimRowPrefix + parts.map(encodeURIComponent).join("/");
}

/** The failure of a key that can't be used; undefined if it can. */
export function validateIdempotencyKey(key: string): Failure | undefined {
    const message = "The idempotency key must have 1 to 255 printable ASCII characters without spaces.";
    return validIdempotencyKey.test(key) ? undefined : notRun(FailureReason.BadRequest, message);
}

/** Equal for calls that ask for the same; the call's id and deadline differ on each try and stay out of it. */
export function hashCall(call: ServiceCall): string {
    return hashText(JSON.stringify([call.method, call.path, call.contentType ?? "", call.body]));
}

/** @throws if the row was not written by this module: a programming error */
export function parseClaimRow(value: JsonValue): ClaimRow {
    return claimRowSchema.parse(value);
}

/** The row as the table service takes it. */
export function formatClaimRow(row: ClaimRow): JsonValue {
    return toJson(row);
}

/** The row that an attempt begins with. */
export function createClaimedRow(own: OwnClaim, owner: ProcessIdentity): ClaimRow {
    return {
        state: ClaimRowState.Claimed,
        claimId: own.claimId,
        requestId: own.requestId,
        callHash: own.callHash,
        owner,
    };
}

/** The row of a call that was answered. Too large an answer is left out, and replays say so. */
export function createAnsweredRow(
    claimed: ClaimRow,
    answer: ServiceAnswer,
    now: number,
    limits: ClaimLimits,
): ClaimRow {
    const isStored = Buffer.byteLength(answer.body) <= limits.keptAnswerBytes;
    return {
        ...claimed,
        state: ClaimRowState.Answered,
        answer: isStored ? answer : undefined,
        keepUntil: now + limits.answeredRetentionMilliseconds,
    };
}

/** The row of a call that may have run. */
export function createUnknownRow(claimed: ClaimRow, now: number, limits: ClaimLimits, settledBy?: string): ClaimRow {
    return {
        ...claimed,
        state: ClaimRowState.Unknown,
        settledBy,
        keepUntil: now + limits.unknownRetentionMilliseconds,
    };
}

/**
 * The row of a call that did not run. A row is kept rather than deleted: a copy of the claim's own write that is still
 * on its way demands an absent row, and would otherwise bring the claim back.
 */
export function createFreeRow(claimed: ClaimRow, now: number, limits: ClaimLimits): ClaimRow {
    return { ...claimed, state: ClaimRowState.Free, keepUntil: now + limits.freeRetentionMilliseconds };
}

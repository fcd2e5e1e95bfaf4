import { type Failure, FailureReason, hashText, type JsonValue, notRun, toJson } from "daisyturn-utils";
import { z } from "zod";
import type { ServiceAnswer, ServiceCall } from "../../ports/plainService.js";
import type { ProcessIdentity } from "../peers/index.js";
import type { ClaimLimits } from "./claimLimits.js";
import type { OwnClaim } from "./ownClaims.js";

/** Prefix of the keys of all claim rows in the table service. */
export const claimRowPrefix = "claims/";

/** Keys must fit into a row's key after escaping, and into a log line. */
const validIdempotencyKey = /^[\x21-\x7e]{1,255}$/;

/** State of a claim as stored in its row. */
export enum ClaimRowState {
    /** The owner is about to send the call or has sent it. */
    Claimed = "claimed",
    Answered = "answered",
    /** The call may have run, and its answer is lost. */
    Unknown = "unknown",
    /** The call did not run; another claim may overwrite the row. */
    Free = "free",
}

const ownerSchema = z.object({
    processId: z.string(),
    incarnation: z.string(),
    vmId: z.string(),
    availabilityZone: z.string(),
    peerAddress: z.string(),
});

/** Schema of an answer as stored in rows and sent between peers. */
export const answerSchema = z.object({ status: z.number(), contentType: z.string(), body: z.string() });

const claimRowSchema = z.object({
    state: z.enum(ClaimRowState),
    /** Unique id of one attempt to run the call. */
    claimId: z.string(),
    /** Id of the caller's request, as in the logs. */
    requestId: z.string(),
    /** Hash of the parts of the call that the caller determines. */
    callHash: z.string(),
    owner: ownerSchema,
    /** With Answered, unless the answer was too large to be stored. */
    answer: answerSchema.optional(),
    /** With Unknown: id of the process that wrote the row in place of the owner. */
    settledBy: z.string().optional(),
    /** Wall-clock time in milliseconds after which the row may be deleted. Absent with Claimed. */
    keepUntil: z.number().optional(),
});

export type ClaimRow = z.infer<typeof claimRowSchema>;

/** Scope within which an idempotency key is unique, and the key. */
export interface ClaimScope {
    readonly partner: string;
    readonly account: string;
    readonly service: string;
    readonly idempotencyKey: string;
}

/** Returns the key of a claim's row. Each part is escaped, so that different scopes never share a row. */
export function formatClaimRowKey(scope: ClaimScope): string {
    const parts = [scope.partner, scope.account, scope.service, scope.idempotencyKey];
    return claimRowPrefix + parts.map(encodeURIComponent).join("/");
}

/** Returns a failure if the key is invalid, else undefined. */
export function validateIdempotencyKey(key: string): Failure | undefined {
    const message = "The idempotency key must have 1 to 255 printable ASCII characters without spaces.";
    return validIdempotencyKey.test(key) ? undefined : notRun(FailureReason.BadRequest, message);
}

/** Hashes a call without its id and deadline, which differ on each attempt; repeated calls have equal hashes. */
export function hashCall(call: ServiceCall): string {
    return hashText(JSON.stringify([call.method, call.path, call.contentType ?? "", call.body]));
}

/** @throws if the row was not written by this module, which is a programming error */
export function parseClaimRow(value: JsonValue): ClaimRow {
    return claimRowSchema.parse(value);
}

/** Formats a row for the table service. */
export function formatClaimRow(row: ClaimRow): JsonValue {
    return toJson(row);
}

/** Creates the row of a new attempt. */
export function createClaimedRow(own: OwnClaim, owner: ProcessIdentity): ClaimRow {
    return {
        state: ClaimRowState.Claimed,
        claimId: own.claimId,
        requestId: own.requestId,
        callHash: own.callHash,
        owner,
    };
}

/** Creates the row of an answered call. An answer that is too large is omitted, which replays report. */
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

/** Creates the row of a call that may have run. */
export function createUnknownRow(claimed: ClaimRow, now: number, limits: ClaimLimits, settledBy?: string): ClaimRow {
    return {
        ...claimed,
        state: ClaimRowState.Unknown,
        settledBy,
        keepUntil: now + limits.unknownRetentionMilliseconds,
    };
}

/**
 * Creates the row of a call that did not run. The row is retained rather than deleted: a duplicate of the claim's own
 * write that is still in transit expects an absent row and would otherwise restore the claim.
 */
export function createFreeRow(claimed: ClaimRow, now: number, limits: ClaimLimits): ClaimRow {
    return { ...claimed, state: ClaimRowState.Free, keepUntil: now + limits.freeRetentionMilliseconds };
}

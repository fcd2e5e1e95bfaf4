import { type Failure, FailureReason, notRun } from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import type { CallerAccount } from "../../version/configurationItems.js";
import type { CallerExchange } from "../callerExchange.js";
import type { ModelRequest } from "../completion/modelRequest.js";
import type { RequestParts } from "../requestParts.js";
import type { ResumeTicket } from "./resumeToken.js";

/** Headers of a request that resumes an answer. */
export interface ResumeHeaders {
    readonly token: string;
    readonly ticket: ResumeTicket;
    /** Number of tokens that the caller has received. */
    readonly offset: number;
}

/** A resumption, with the data that allows another engine to generate the rest if the stream is lost. */
export interface ResumeRequest extends ResumeHeaders {
    /** The original request, if the caller sent it again. */
    readonly request?: ModelRequest;
    /** Text of the tokens that the caller has received. */
    readonly receivedText?: string;
    /** Wall-clock time in milliseconds. */
    readonly deadline?: number;
}

const offsetPattern = /^\d{1,9}$/;

/** Reads the headers of a resumption. Returns undefined if there is no token. */
export function readResumeHeaders(
    parts: RequestParts,
    exchange: CallerExchange,
    account: CallerAccount,
): Result<ResumeHeaders | undefined, Failure> {
    const token = exchange.header("x-resume-token");
    if (token === undefined) {
        return ok(undefined);
    }
    const ticket = parts.resumeTokens.verify(token, account);
    if (ticket.isErr) {
        return err(ticket.error);
    }
    const lastEvent = exchange.header("last-event-id") ?? String(ticket.value.offset);
    if (!offsetPattern.test(lastEvent) || Number(lastEvent) < ticket.value.offset) {
        return err(notRun(FailureReason.BadRequest, "Last-Event-ID is not the id of an event after the token's."));
    }
    return ok({ token, ticket: ticket.value, offset: Number(lastEvent) });
}

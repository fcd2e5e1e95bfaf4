import { EventKind, type Failure } from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import type { StreamEnd } from "../../ports/engine.js";
import { admit } from "../admit.js";
import {
    type AnswerChannel,
    type AnswerSource,
    createBufferedChannel,
    createStreamedChannel,
} from "../answer/answerChannel.js";
import type { AnswerContext } from "../answer/answerContext.js";
import { createProgress } from "../answer/answerProgress.js";
import { produceAnswer } from "../answer/produceAnswer.js";
import type { CallerExchange } from "../callerExchange.js";
import { createListedFailure } from "../listedFailure.js";
import { startRequestLifetime } from "../requestLifetime.js";
import type { RequestParts } from "../requestParts.js";
import { addRetryTime } from "../retryPolicy.js";
import { hashModelRequest, type ModelRequest } from "./modelRequest.js";

/** Time after the deadline within which an answer may still be resumed, since a late answer is better than none. */
export const resumeGraceMilliseconds = 60_000;

/** Serves an identified request: admits it, produces its answer and sends it to the caller. */
export async function serveModelRequest(
    parts: RequestParts,
    exchange: CallerExchange,
    request: ModelRequest,
): Promise<Result<void, Failure>> {
    const lifetime = startRequestLifetime(parts.clock, exchange.signal, request.totalDeadline);
    try {
        const channel = createChannel(parts, exchange, request);
        const end = await admitAndProduce(parts, {
            request,
            channel,
            progress: createProgress(),
            avoid: new Set(),
            signal: lifetime.signal,
        });
        return finishAnswer(parts, channel, request.requestId, end);
    }
    finally {
        lifetime.end();
    }
}

/** Runs a request from admission to the end mark, starting at its current progress. */
export async function admitAndProduce(
    parts: RequestParts,
    context: AnswerContext,
): Promise<Result<StreamEnd, Failure>> {
    const { request, signal } = context;
    recordAccepted(parts, request);
    const listed = parts.crashGuard.findListed(request.guarded);
    if (listed) {
        return err(createListedFailure(listed));
    }
    const ticket = await admit(parts, request, context.softwareVersion, signal);
    if (ticket.isErr) {
        return err(ticket.error);
    }
    parts.retryBudget.recordRequest();
    try {
        return await produceAnswer(parts, context);
    }
    finally {
        ticket.value.release();
    }
}

/** Ends the channel with the end mark or the failure of the answer. */
export function finishAnswer(
    parts: RequestParts,
    channel: AnswerChannel,
    requestId: string,
    end: Result<StreamEnd, Failure>,
): Result<void, Failure> {
    if (end.isErr) {
        const failure = addRetryTime(end.error, parts.clock, true);
        const reported = channel.fail(failure);
        if (reported.isOk) {
            const { reason, verdict } = failure;
            parts.eventLog.record(EventKind.RequestFailed, { request: requestId, reason, verdict });
        }
        return reported;
    }
    channel.finish(end.value);
    parts.eventLog.record(EventKind.RequestAnswered, { request: requestId, tokens: end.value.outputTokens });
    return ok(undefined);
}

function createChannel(parts: RequestParts, exchange: CallerExchange, request: ModelRequest): AnswerChannel {
    const names = {
        form: request.body.form,
        requestId: request.requestId,
        serviceName: request.body.serviceName,
        createdAt: request.arrivedAt,
    };
    return request.body.stream
        ? createStreamedChannel(exchange, {
            names,
            includeUsage: request.body.includeUsage,
            signResumeToken: createTokenSigner(parts, request),
        })
        : createBufferedChannel(exchange, names);
}

/** Creates the signer of resume tokens for the streams of one request. */
export function createTokenSigner(parts: RequestParts, request: ModelRequest): (source: AnswerSource) => string {
    const requestHash = hashModelRequest(request);
    return source =>
        parts.resumeTokens.sign({
            partner: request.account.partner,
            account: request.account.name,
            requestId: request.requestId,
            form: request.body.form,
            serviceName: request.body.serviceName,
            includeUsage: request.body.includeUsage,
            createdAt: request.arrivedAt,
            requestHash,
            ...source,
            expiresAt: request.totalDeadline + resumeGraceMilliseconds,
        });
}

function recordAccepted(parts: RequestParts, request: ModelRequest): void {
    parts.eventLog.record(EventKind.RequestAccepted, {
        request: request.requestId,
        partner: request.account.partner,
        profile: request.profile.name,
        generation: request.generation,
        promptTokens: request.promptTokens,
    });
}

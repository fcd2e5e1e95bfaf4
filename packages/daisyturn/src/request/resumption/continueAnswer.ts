import { EventKind, type Failure, FailureReason, mayHaveRun, notRun } from "daisyturn-utils";
import { err, type Result } from "true-myth/result";
import type { Sampling, StreamEnd } from "../../ports/engine.js";
import { type AnswerChannel, createStreamedChannel } from "../answer/answerChannel.js";
import type { AnswerProgress } from "../answer/answerProgress.js";
import { attachStream, relayStream } from "../answer/relayStream.js";
import type { CallerExchange } from "../callerExchange.js";
import { hashModelRequest } from "../completion/modelRequest.js";
import { admitAndProduce, createTokenSigner, finishAnswer } from "../completion/serveModelRequest.js";
import { startRequestLifetime } from "../requestLifetime.js";
import type { RequestParts } from "../requestParts.js";
import type { ResumeRequest } from "./resumeHeaders.js";

/** Continues an answer from the engine that has its stream, or generates the rest again from the caller's offset. */
export async function continueAnswer(
    parts: RequestParts,
    exchange: CallerExchange,
    resumption: ResumeRequest,
): Promise<Result<void, Failure>> {
    const { request, ticket } = resumption;
    if (request && hashModelRequest(request) !== ticket.requestHash) {
        return err(notRun(FailureReason.BadRequest, "The resume token belongs to another request."));
    }
    const lifetime = startRequestLifetime(parts.clock, exchange.signal, resumption.deadline ?? ticket.expiresAt);
    try {
        const channel = createResumedChannel(parts, exchange, resumption);
        const progress: AnswerProgress = {
            offset: resumption.offset,
            text: resumption.offset === 0 ? "" : resumption.receivedText,
        };
        const attached = await relayAttached(parts, exchange, resumption, channel, progress, lifetime.signal);
        const end = attached.isErr && !lifetime.signal.aborted
            ? await regenerate(parts, resumption, channel, progress, attached.error, lifetime.signal)
            : attached;
        return finishAnswer(parts, channel, exchange.requestId, end);
    }
    finally {
        lifetime.end();
    }
}

function createResumedChannel(
    parts: RequestParts,
    exchange: CallerExchange,
    resumption: ResumeRequest,
): AnswerChannel {
    const { ticket, request, token } = resumption;
    const sign = request && createTokenSigner(parts, request);
    return createStreamedChannel(exchange, {
        names: ticket,
        includeUsage: ticket.includeUsage,
        signResumeToken: source => sign?.(source) ?? token,
        resumeToken: token,
    });
}

/** Attaches to the stream even if the gate is closed, since a drained engine still completes its streams. */
async function relayAttached(
    parts: RequestParts,
    exchange: CallerExchange,
    resumption: ResumeRequest,
    channel: AnswerChannel,
    progress: AnswerProgress,
    signal: AbortSignal,
): Promise<Result<StreamEnd, Failure>> {
    const { ticket } = resumption;
    const engine = parts.targets.engine(ticket.engine);
    if (!engine) {
        return err(mayHaveRun(FailureReason.StreamBroken, "The engine of the answer has left the fleet."));
    }
    const leave = parts.gate.enter(ticket.engine);
    try {
        const source = await attachStream(parts, engine, ticket.streamId, progress.offset, signal);
        recordResumed(parts, exchange, resumption, source.isOk);
        if (source.isErr) {
            return err(source.error);
        }
        return await relayStream(parts, {
            requestId: exchange.requestId,
            engine,
            streamId: ticket.streamId,
            source: source.value,
            progress,
            sink: tokens => channel.deliver(tokens),
            signal,
            isGenerated: false,
        });
    }
    finally {
        leave();
    }
}

/**
 * Generates the rest at another engine. This requires that sampling is deterministic, so that the text is the same, or
 * that the caller has sent the text received so far.
 */
function regenerate(
    parts: RequestParts,
    resumption: ResumeRequest,
    channel: AnswerChannel,
    progress: AnswerProgress,
    cause: Failure,
    signal: AbortSignal,
): Promise<Result<StreamEnd, Failure>> {
    const { request, ticket } = resumption;
    if (!request) {
        const message = "The engine has the answer no longer; send the original request with the token.";
        return Promise.resolve(err(mayHaveRun(FailureReason.StreamBroken, message, cause.retryAt)));
    }
    if (progress.text === undefined && !isDeterministic(request.body.sampling)) {
        const message = "The engine has the answer no longer and its rest would not fit; ask anew from the start.";
        return Promise.resolve(err(mayHaveRun(FailureReason.StreamBroken, message)));
    }
    return admitAndProduce(parts, {
        request,
        channel,
        progress,
        avoid: new Set([ticket.engine]),
        softwareVersion: ticket.softwareVersion,
        signal,
    });
}

function isDeterministic(sampling: Sampling | undefined): boolean {
    return sampling?.temperature === 0 || sampling?.seed !== undefined;
}

function recordResumed(
    parts: RequestParts,
    exchange: CallerExchange,
    resumption: ResumeRequest,
    isAttached: boolean,
): void {
    parts.eventLog.record(EventKind.RequestResumed, {
        request: exchange.requestId,
        original: resumption.ticket.requestId,
        engine: resumption.ticket.engine,
        stream: resumption.ticket.streamId,
        offset: resumption.offset,
        resumed: isAttached,
    });
}

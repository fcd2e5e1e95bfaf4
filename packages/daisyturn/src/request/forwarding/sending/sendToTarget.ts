import { EventKind, ExecutionVerdict, type Failure, FailureReason, mayHaveRun, notRun } from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import { createByteCollector } from "../../../connection/bytes/createByteCollector.js";
import { AnswerEnd } from "../../../connection/target/answerEnd.js";
import { ConnectionPolicy } from "../../../connection/target/createTargetConnections.js";
import { AbandonedSend } from "../../../connection/target/openTargetConnection.js";
import type { ReplyHead } from "../../../ports/forwardedCall.js";
import type { ListedTarget } from "../../../ports/listedTarget.js";
import type { CallContext } from "../callContext.js";
import { checkListed } from "../checkListed.js";
import type { ForwardingParts } from "../forwardingParts.js";
import { acquireToken } from "./acquireToken.js";
import { type CallAttempt, describePart, type SendRoute, type TargetReply } from "./callAttempt.js";
import { checkAvailable, checkRestart, checkVersion } from "./checkTarget.js";
import { countRun } from "./countRun.js";
import type { Dispatch } from "./dispatchGate.js";
import {
    determineRunEnd,
    endArrival,
    recordAbandoned,
    recordEvidence,
    recordNotices,
    recordSend,
} from "./recordSend.js";
import { watchSilence } from "./watchSilence.js";

const minFailureStatus = 300;
/** Largest answer that is collected before it is sent to the caller. */
const maxCollectedBytes = 16 * 1024 * 1024;
const maxEventBytes = 1024 * 1024;
/** The answer to a prefill names a KV cache and is not passed on. */
const maxPrefillBytes = 64 * 1024;
/** The body of a refusal is not passed on. */
const maxRefusalBytes = 64 * 1024;
const tooLongMessage = "The answer is longer than can be held.";
const answeredFailure = notRun(FailureReason.Cancelled, "The call has been answered already.");

/** Sends a call, updates the load and health of the target, and assigns a verdict to each failure. */
export async function sendToTarget(
    parts: ForwardingParts,
    context: CallContext,
    attempt: CallAttempt,
): Promise<Result<TargetReply, Failure>> {
    const { target } = attempt;
    const { loads, health, clock, protocol } = parts;
    while (!parts.readBarrier.isPassed(context.call.arrivedAt)) {
        await parts.readBarrier.nextRead();
    }
    if (context.signal.aborted) {
        recordAbandoned(parts, context, attempt, AbandonedSend.NotSent);
        return err(context.signal.reason as Failure);
    }
    const unavailable = checkAvailable(parts, target) ?? checkVersion(parts, context, target);
    if (unavailable) {
        return err(unavailable);
    }
    const { softwareVersion } = context;
    const needsToken = parts.targetQuotas.needsToken(target.targetId);
    const full = needsToken ? await acquireToken(parts, context, target) : undefined;
    if (full) {
        return err(full);
    }
    const listed = checkListed(parts, context);
    if (listed.isErr) {
        return err(listed.error);
    }
    const arrival = context.arrivals.begin(describePart(attempt));
    if (!arrival) {
        return err(notRun(FailureReason.Overloaded, "The lease of the retry has ended."));
    }
    if (!attempt.terms.prefillOnly) {
        context.target = target;
    }
    const reply: { head?: ReplyHead; bytes: number; } = { bytes: 0 };
    context.heldAnswer.update(0);
    const collected = createByteCollector({ maxBytes: maxCollectedBytes });
    const work = loads.begin(target.targetId, attempt.cost);
    const run = context.service.engine ? undefined : parts.speeds.beginRun(target);
    const wait = health.beginWait(target.targetId, context.service.engine !== undefined);
    const endRun = parts.crashGuard.beginRun(target, context.guarded);
    const route: SendRoute = {
        isLinkLost: () => !route.started?.relayId && parts.links.isLost(target.address),
    };
    const silenceWatch = watchSilence({
        clock,
        health,
        callSignal: context.signal,
        targetId: target.targetId,
        isRepeatable: attempt.isRepeatable,
        isLinkLost: route.isLinkLost,
        endWait: wait.end,
    });

    context.trace.record(EventKind.RequestDispatched, {
        target: target.targetId,
        address: target.address,
        softwareVersion: target.softwareVersion,
        part: describePart(attempt),
        remaining: Math.round(context.deadline - clock.monotonicNow()),
        calls: Math.round(loads.calls(target.targetId)),
    });
    const handleFirstByte = () => {
        work.finishExpensiveWork();
        wait.end();
        countRun(parts, context, attempt, reply.head, sentAt);
        attempt.onFirstByte?.();
    };
    let dispatch: Dispatch | undefined;
    const sentAt = clock.monotonicNow();
    const sent = await parts.connections.send(
        target.address,
        attempt.isRepeatable ? ConnectionPolicy.Reuse : ConnectionPolicy.RecentlyVerified,
        {
            callId: context.call.callId,
            head: protocol.encodeCall(context.call, {
                ...attempt.terms,
                targetName: target.name,
                remainingMilliseconds: context.deadline - clock.monotonicNow(),
            }),
            body: context.call.body.length > 0 ? context.call.body : undefined,
            signal: silenceWatch.signal,
            checkStart: () => {
                const stopped = checkAvailable(parts, target) ?? checkVersion(parts, context, target);
                dispatch = stopped ? undefined : context.exchange.gate.begin(!attempt.terms.prefillOnly);
                return dispatch ? undefined : stopped ?? answeredFailure;
            },
            onStarted: started => {
                route.started = started;
                context.isTargetConfirmed = parts.continuity.isConfirmed(target.targetId, started.openedAt);
                run?.start();
                if (started.relayId !== undefined) {
                    // The silence of a peer is not that of the target.
                    wait.end();
                    parts.metrics.recordRelayedSend();
                }
            },
            onAbandoned: (progress, heldBytes) =>
                recordAbandoned(parts, context, attempt, progress, heldBytes, silenceWatch.signal),
            sink: {
                onHead: (status, fields) => {
                    const head = protocol.readHead(status, fields);
                    arrival.markAnswered();
                    health.recordBytesReceived(target.targetId);
                    parts.crashGuard.recordBytesReceived(target.targetId);
                    if (head.load) {
                        loads.recordReport(target.targetId, head.load);
                    }
                    if (head.callId === context.call.callId) {
                        recordNotices(parts, context, target, head);
                    }
                    reply.head = head;
                    return checkOrigin(context, attempt, head)
                        ?? (softwareVersion === undefined ? undefined : checkRestart(parts, target));
                },
                onChunk: chunk => {
                    health.recordBytesReceived(target.targetId);
                    parts.continuity.recordBytesReceived(target.targetId, route.started?.openedAt ?? Infinity);
                    parts.crashGuard.recordBytesReceived(target.targetId);
                    silenceWatch.recordBytesReceived();
                    reply.bytes += chunk.length;
                    if (reply.bytes === chunk.length) {
                        handleFirstByte();
                    }
                    if (attempt.onChunk && reply.head && reply.head.status < minFailureStatus) {
                        attempt.onChunk(reply.head, chunk);
                    }
                    else {
                        collected.add(chunk);
                    }
                    context.heldAnswer.update(collected.byteCount() + (attempt.heldBytes?.() ?? 0));
                    return checkLength(attempt, reply);
                },
                mayRead: context.heldAnswer.mayRead,
            },
        },
    );
    silenceWatch.end();
    recordGivenUp(parts, context, target, reply.bytes, sent);
    const result = await checkEnd(parts, attempt, route, sent);
    recordSend(parts, context, attempt, route, reply.head, result);
    work.end();
    wait.end();
    run?.end(isMeasurable(attempt, route, reply.head, result));
    // Counts an answer without a body.
    countRun(parts, context, attempt, reply.head, sentAt);
    const outcome = determineResult(result, reply.head, collected.list());
    if (outcome.isErr) {
        context.heldAnswer.update(0);
    }
    if (outcome.isErr && outcome.error.verdict === ExecutionVerdict.NotRun) {
        dispatch?.markNotRun();
    }
    endArrival(parts, context, attempt, arrival, route.started ? outcome : undefined);
    recordEvidence(parts, context, attempt, route, outcome, silenceWatch.isSilent());
    endRun(determineRunEnd(context, attempt, outcome, silenceWatch.isSilent()));
    return outcome;
}

/** Streams last as long as their events do, and the way over a peer takes longer than the target's work. */
function isMeasurable(
    { onChunk }: CallAttempt,
    { started }: SendRoute,
    head: ReplyHead | undefined,
    result: Result<void, Failure>,
): boolean {
    const isSuccess = result.isOk && head !== undefined && head.status < minFailureStatus;
    return isSuccess && started !== undefined && started.relayId === undefined && onChunk === undefined;
}

/** Bounds the bytes of an answer that wait for its end, or for that of an event, or that nobody reads. */
function checkLength(
    { onChunk, heldBytes = () => 0, terms }: CallAttempt,
    { head, bytes }: { readonly head?: ReplyHead; readonly bytes: number; },
): Failure | undefined {
    if (head?.isNotRun && bytes > maxRefusalBytes) {
        return notRun(FailureReason.TargetRefused, `The target refused the call with status ${head.status}.`);
    }
    const isRelayed = onChunk !== undefined && head !== undefined && head.status < minFailureStatus;
    const maxBytes = terms.prefillOnly ? maxPrefillBytes : maxCollectedBytes;
    if (isRelayed ? heldBytes() > maxEventBytes : bytes > maxBytes) {
        return mayHaveRun(FailureReason.TargetFailed, tooLongMessage);
    }
    return undefined;
}

/** Logs an answer that was given up for its length, or that waited for memory at the end. */
function recordGivenUp(
    { eventLog }: ForwardingParts,
    { call, heldAnswer }: CallContext,
    { targetId, address }: ListedTarget,
    bytes: number,
    sent: Result<AnswerEnd, Failure>,
): void {
    const isTooLong = sent.isErr && sent.error.message === tooLongMessage;
    if (isTooLong || (sent.isErr && heldAnswer.isWaiting())) {
        const reason = isTooLong ? "too_long" : "no_memory";
        eventLog.record(EventKind.AnswerGivenUp, { request: call.callId, target: targetId, address, reason, bytes });
    }
}

/** An answer is valid only if it names the call and, if it is a success for the caller, is signed by its target. */
function checkOrigin(context: CallContext, attempt: CallAttempt, head: ReplyHead): Failure | undefined {
    if (head.callId !== context.call.callId) {
        return mayHaveRun(FailureReason.TargetFailed, "The answer belongs to another call.");
    }
    const isForCaller = !attempt.terms.prefillOnly && head.status < minFailureStatus;
    return isForCaller && !head.isStamped
        ? mayHaveRun(FailureReason.TargetFailed, "The answer is not signed by its target.")
        : undefined;
}

/**
 * An answer that ends with its connection is whole if the connection was closed in order, its text may be whole, and the
 * target still accepts connections: one that ends closes its connections in the same way. What can't be confirmed counts as
 * broken, since a part of an answer must not look complete.
 */
async function checkEnd(
    { connections }: ForwardingParts,
    { target, isWhole = () => true }: CallAttempt,
    { started }: SendRoute,
    sent: Result<AnswerEnd, Failure>,
): Promise<Result<void, Failure>> {
    if (sent.isErr || sent.value === AnswerEnd.Framed) {
        return sent.map(() => undefined);
    }
    if (!isWhole()) {
        return err(mayHaveRun(FailureReason.TargetFailed, "The connection closed inside an event."));
    }
    return await connections.confirmListening(target.address, started?.relayId)
        ? ok(undefined)
        : err(mayHaveRun(FailureReason.TargetFailed, "The target ended as it closed its answer."));
}

function determineResult(
    result: Result<void, Failure>,
    head: ReplyHead | undefined,
    body: readonly Buffer[],
): Result<TargetReply, Failure> {
    if (result.isErr) {
        return err(result.error);
    }
    if (!head) {
        return err(mayHaveRun(FailureReason.TargetFailed, "The target ended without an answer."));
    }
    if (head.isNotRun) {
        return err(notRun(FailureReason.TargetRefused, `The target refused the call with status ${head.status}.`));
    }
    return ok({ head, body });
}

import { EventKind, ExecutionVerdict, type Failure, FailureReason, mayHaveRun, notRun } from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import { ConnectionPolicy } from "../../connection/target/createTargetConnections.js";
import type { IncomingFields, KvSource, PromptDescription } from "../../ports/forwardedCall.js";
import { EngineStage, type ListedTarget } from "../../ports/listedTarget.js";
import {
    countSharedTokens,
    countTokens,
    measureSize,
    normalizePrefillMilliseconds,
    type PlacedStep,
    type PromptPlacement,
    type TrackedPrompt,
} from "../../process/forwarding/index.js";
import type { ForwardService } from "../../version/forwarding/forwardingConfiguration.js";
import { admitPrompt } from "./admitPrompt.js";
import { type CallAnswer, finishStream } from "./callAnswer.js";
import { type CallContext, createFinalFailure, hasReachedTarget, isRepeatable } from "./callContext.js";
import { createEventRelay, type EventRelay } from "./eventRelay.js";
import type { ForwardingParts } from "./forwardingParts.js";
import { recordOrigin } from "./resumption/recordOrigin.js";
import { acquireRetry } from "./retries/acquireRetry.js";
import { sendToTarget } from "./sending/sendToTarget.js";

/** After this many attempts with a separate prefill, the prompt is prefilled by the engine that decodes it. */
const maxPrefills = 2;
const minFailureStatus = 300;
/**
 * Lowest number of the urgencies that are sent; a smaller number goes first. The priorities of routes start here, and
 * as many numbers follow for deferred calls. Targets accept 0 to 9.
 */
const minUrgency = 2;
const priorityCount = 4;
/** The time of a prompt that waited for more than this fraction of its work says little about the prefill rate. */
const maxWaitFraction = 0.25;
/** A release that takes longer is abandoned; the KV cache then expires at the engine. */
const releaseTimeoutMilliseconds = 500;
const foreignAnswerFailure = mayHaveRun(FailureReason.TargetFailed, "The answer belongs to a call.");
const releaseTimeoutFailure = notRun(FailureReason.DeadlinePassed, "The engine did not free the KV cache in time.");

/**
 * Answers a prompt with prefill and decode at two engines or at one, whichever is sooner. After a failure, continues at
 * another engine if the route allows it.
 */
export async function runPromptCall(
    parts: ForwardingParts,
    context: CallContext,
    prompt: PromptDescription,
): Promise<Result<CallAnswer, Failure>> {
    const account = parts.sizeFairness.begin(context.route.name, measureSize(prompt));
    const answer = await answerPrompt(parts, context, prompt, account);
    account.end(answer.isOk);
    return answer;
}

/** Tries one placement after the other, until one answers or no retry is left. */
async function answerPrompt(
    parts: ForwardingParts,
    context: CallContext,
    prompt: PromptDescription,
    account: TrackedPrompt,
): Promise<Result<CallAnswer, Failure>> {
    const relay = createEventRelay(context.exchange, () => recordOrigin(parts, context));
    let prefills = 0;
    let isPlacedAgain = false;
    for (;;) {
        const isWholeOnly = prefills >= maxPrefills || !context.arrivals.mayPrefill()
            || parts.crashGuard.mustRunWhole(context.guarded);
        const admitted = await admitPrompt(parts, context, {
            prompt,
            account,
            isWholeOnly,
            hasStarted: relay.hasStarted() || context.isResumption,
        });
        if (admitted.isErr) {
            return err(createFinalFailure(context, admitted.error));
        }
        const placement = admitted.value;
        prefills += placement.prefill ? 1 : 0;
        context.arrivals.keepFor(placement.prefill !== undefined);
        if (!isPlacedAgain) {
            recordDemand(parts, context.service, prompt, placement);
        }
        const answer = await executePlacement(parts, context, prompt, placement, relay);
        if (answer.isOk) {
            return ok(answer.value);
        }
        const { target, failure, retryFailure } = answer.error;
        context.avoid.add(target.targetId);
        if (failure.reason === FailureReason.TargetFull) {
            prefills -= placement.prefill?.target === target ? 1 : 0;
            isPlacedAgain = true;
            continue;
        }
        isPlacedAgain = false;
        const attempt = {
            failure: retryFailure,
            isReached: hasReachedTarget(failure),
            mayPrefill: prefills < maxPrefills,
        };
        if (!await acquireRetry(parts, context, attempt)) {
            return err(createFinalFailure(context, failure));
        }
    }
}

/** A step of a placement that failed. */
interface FailedStep {
    readonly target: ListedTarget;
    readonly failure: Failure;
    /** The failure by which a retry is decided. */
    readonly retryFailure: Failure;
}

/** Runs the separate prefill, if the placement has one, and then the decode step. */
async function executePlacement(
    parts: ForwardingParts,
    context: CallContext,
    prompt: PromptDescription,
    placement: PromptPlacement,
    relay: EventRelay,
): Promise<Result<CallAnswer, FailedStep>> {
    let kvSource: KvSource | undefined;
    if (placement.prefill) {
        const prefilled = await prefill(parts, context, prompt, placement, placement.prefill);
        if (prefilled.isErr) {
            const failure = prefilled.error;
            return err({ target: placement.prefill.target, failure, retryFailure: toRepeatable(failure) });
        }
        kvSource = prefilled.value;
    }
    const decoded = await decode(parts, context, prompt, placement, kvSource, relay);
    if (decoded.isOk) {
        return ok(decoded.value);
    }
    const failure = decoded.error;
    if (kvSource && !mayHaveBeenFetched(failure)) {
        releaseKv(parts, context, kvSource);
    }
    relay.discardPartialEvent();
    return err({ target: placement.decode.target, failure, retryFailure: failure });
}

/** A prefill produces no answer, so it may be repeated whatever the kind of the route. */
function toRepeatable(failure: Failure): Failure {
    return { ...failure, verdict: ExecutionVerdict.NotRun };
}

async function prefill(
    parts: ForwardingParts,
    context: CallContext,
    prompt: PromptDescription,
    placement: PromptPlacement,
    step: PlacedStep,
): Promise<Result<KvSource, Failure>> {
    const startedAt = parts.clock.monotonicNow();
    const reply = await sendToTarget(parts, context, {
        target: step.target,
        terms: { prefillOnly: true, fetchKvFrom: step.fetchFrom?.address, urgency: computeUrgency(context, placement) },
        isRepeatable: true,
        cost: { work: step.work, isDeferred: placement.isDeferred, tokens: prompt.promptTokens },
    });
    if (reply.isErr) {
        return err(reply.error);
    }
    const { head, body } = reply.value;
    if (head.status >= minFailureStatus) {
        const message = `The engine did not read the prompt and answered with status ${head.status}.`;
        return err(mayHaveRun(FailureReason.TargetFailed, message));
    }
    recordPrefill(parts, context, prompt, step, parts.clock.monotonicNow() - startedAt);
    parts.caches.record(step.target.targetId, prompt.parts, context.service.engine?.kvTokens ?? 0);
    return parts.protocol.readKvHandle(Buffer.concat(body)).map(handle => ({ address: step.target.address, handle }));
}

async function decode(
    parts: ForwardingParts,
    context: CallContext,
    prompt: PromptDescription,
    placement: PromptPlacement,
    kvSource: KvSource | undefined,
    relay: EventRelay,
): Promise<Result<CallAnswer, Failure>> {
    const { target, work, fetchFrom } = placement.decode;
    const startedAt = parts.clock.monotonicNow();
    const reply = await sendToTarget(parts, context, {
        target,
        terms: {
            kvSource,
            fetchKvFrom: fetchFrom?.address,
            urgency: computeUrgency(context, placement),
            lastEventId: relay.lastEventId(),
        },
        isRepeatable: isRepeatable(context.route),
        cost: { work, isDeferred: placement.isDeferred, tokens: countTokens(prompt) },
        onChunk: (head, piece) => relay.write(head.status, head.forwardedFields, piece),
        isWhole: () => !relay.hasPartialEvent(),
        heldBytes: relay.heldBytes,
        onFirstByte: () => {
            if (!kvSource) {
                recordPrefill(parts, context, prompt, placement.decode, parts.clock.monotonicNow() - startedAt);
            }
        },
    });
    if (reply.isErr) {
        if (hasReachedTarget(reply.error)) {
            context.attemptedTargets.add(target.targetId);
        }
        return err(reply.error);
    }
    context.attemptedTargets.add(target.targetId);
    parts.caches.record(target.targetId, prompt.parts, context.service.engine?.kvTokens ?? 0);
    const meanPause = context.exchange.meanPause();
    if (meanPause !== undefined) {
        parts.eventIntervals.observe(context.service.name, meanPause);
    }
    return finishStream(context, relay, reply.value);
}

/** Updates the estimates with the time that an engine took to prefill, including the wait in its queue. */
function recordPrefill(
    { slowdowns, prefillRates }: ForwardingParts,
    context: CallContext,
    { promptTokens }: PromptDescription,
    { target, wait, work, keptTokens }: PlacedStep,
    milliseconds: number,
): void {
    slowdowns.observe(target.targetId, wait, work, milliseconds);
    if (wait <= work * maxWaitFraction) {
        const normalizedMilliseconds = normalizePrefillMilliseconds(milliseconds, target.stage === EngineStage.Decode);
        prefillRates.observe([
            context.service.name,
            promptTokens - keptTokens,
            keptTokens,
            Math.round(normalizedMilliseconds),
        ]);
    }
}

/**
 * Whether the decode engine may have fetched the KV cache. An engine that refused the call has not; if it may have, the
 * cache is not released and expires on its own.
 */
function mayHaveBeenFetched(failure: Failure): boolean {
    return failure.verdict !== ExecutionVerdict.NotRun;
}

/** Frees a KV cache that no engine will fetch. If that fails, the cache expires on its own. */
function releaseKv(parts: ForwardingParts, context: CallContext, source: KvSource): void {
    const controller = new AbortController();
    const timer = setTimeout(() => controller.abort(releaseTimeoutFailure), releaseTimeoutMilliseconds);
    // The answer to a release names no call. One that does was sent once more, and that of the release is still to come.
    const onHead = (status: number, fields: IncomingFields) =>
        parts.protocol.readHead(status, fields).callId === undefined ? undefined : foreignAnswerFailure;
    const sink = { onHead, onChunk: () => undefined };
    const send = {
        head: parts.protocol.encodeKvRelease(source.handle),
        body: undefined,
        signal: controller.signal,
        sink,
    };
    void parts.connections.send(source.address, ConnectionPolicy.Reuse, send).then(result => {
        clearTimeout(timer);
        if (result.isErr) {
            parts.eventLog.record(EventKind.KvReleaseFailed, {
                request: context.call.callId,
                address: source.address,
                reason: result.error.message,
            });
        }
    });
}

/** Orders deferred calls, which will be late anyway, after all calls that can still be on time. */
function computeUrgency(context: CallContext, placement: PromptPlacement): number {
    const urgency = minUrgency + Math.min(context.priority, priorityCount - 1);
    return placement.isDeferred ? urgency + priorityCount : urgency;
}

function recordDemand(
    { demand, leastDemand, firstReads }: ForwardingParts,
    { name, scaling }: ForwardService,
    prompt: PromptDescription,
    { prefill, decode, prefillMilliseconds }: PromptPlacement,
): void {
    demand.record(name, prefillMilliseconds);
    if (scaling) {
        const { keptTokens, work, leastWork } = prefill ?? decode;
        const least = work > 0 ? prefillMilliseconds * leastWork / work : prefillMilliseconds;
        const missingShared = Math.max(0, countSharedTokens(prompt) - keptTokens);
        const missing = Math.max(1, prompt.promptTokens - keptTokens);
        leastDemand.record(name, least);
        firstReads.record(name, least * missingShared / missing);
    }
}

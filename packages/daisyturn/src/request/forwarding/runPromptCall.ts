import { EventKind, ExecutionVerdict, type Failure, FailureReason, mayHaveRun, notRun } from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import { ConnectionPolicy } from "../../connection/target/createTargetConnections.js";
import type { KvSource, PromptDescription } from "../../ports/forwardedCall.js";
import { EngineStage, type ListedTarget } from "../../ports/listedTarget.js";
import {
    countTokens,
    measureSize,
    normalizePrefillMilliseconds,
    type PlacedStep,
    type PromptPlacement,
    type TrackedPrompt,
} from "../../process/forwarding/index.js";
import { admitPrompt } from "./admitPrompt.js";
import { type CallAnswer, concludeStream } from "./callAnswer.js";
import { type CallRun, concludeRun, hasReached, isRepeatable, mayTryAgain } from "./callRun.js";
import { createEventRelay, type EventRelay } from "./eventRelay.js";
import type { ForwardingParts } from "./forwardingParts.js";
import { sendToTarget } from "./sendToTarget.js";

/** A prefill that failed is tried elsewhere so often before the prompt is read where it is decoded. */
const mostPrefills = 2;
const firstFailureStatus = 300;
/** Priorities of routes start here, and as many follow for calls that are late. The target's range is 0 to 9. */
const firstUrgency = 2;
const mostPriorities = 4;
/** A prompt that waited for more than this part of its work says little of how fast it was read. */
const mostWaitFraction = 0.25;
/** A release that takes longer is left to the cache's own end. */
const releaseMilliseconds = 500;
const lateRelease = notRun(FailureReason.DeadlinePassed, "The engine did not free the KV cache in time.");

/**
 * Has engines answer a prompt: reads it at one and decodes at another, or both at one, whichever is sooner; and goes on
 * at another engine after a failure, where the route allows it.
 */
export async function runPromptCall(
    parts: ForwardingParts,
    run: CallRun,
    prompt: PromptDescription,
): Promise<Result<CallAnswer, Failure>> {
    const account = parts.sizeFairness.begin(run.route.name, measureSize(prompt));
    const answer = await answerPrompt(parts, run, prompt, account);
    account.end(answer.isOk);
    return answer;
}

/** Tries one way after the other, until one answers or no other may be tried. */
async function answerPrompt(
    parts: ForwardingParts,
    run: CallRun,
    prompt: PromptDescription,
    account: TrackedPrompt,
): Promise<Result<CallAnswer, Failure>> {
    const relay = createEventRelay(run.exchange);
    let prefills = 0;
    for (;;) {
        const isWholeOnly = prefills >= mostPrefills;
        const admitted = await admitPrompt(parts, run, { prompt, account, isWholeOnly, hasBegun: relay.hasBegun() });
        if (admitted.isErr) {
            return err(concludeRun(run, admitted.error));
        }
        const way = admitted.value;
        prefills += way.prefill ? 1 : 0;
        parts.demand.record(run.service.name, way.prefillMilliseconds);
        const answer = await takeWay(parts, run, prompt, way, relay);
        if (answer.isOk) {
            return ok(answer.value);
        }
        const { target, failure, judged } = answer.error;
        run.avoid.add(target.targetId);
        if (!mayTryAgain(parts, run, judged, hasReached(failure))) {
            return err(concludeRun(run, failure));
        }
    }
}

/** A step of a way that failed. */
interface FailedStep {
    readonly target: ListedTarget;
    readonly failure: Failure;
    /** The failure as it counts for another attempt. */
    readonly judged: Failure;
}

/** Has the prompt read, where that is done apart, and answered. */
async function takeWay(
    parts: ForwardingParts,
    run: CallRun,
    prompt: PromptDescription,
    way: PromptPlacement,
    relay: EventRelay,
): Promise<Result<CallAnswer, FailedStep>> {
    let kvSource: KvSource | undefined;
    if (way.prefill) {
        const prefilled = await prefill(parts, run, prompt, way, way.prefill);
        if (prefilled.isErr) {
            const failure = prefilled.error;
            return err({ target: way.prefill.target, failure, judged: toRepeatable(failure) });
        }
        kvSource = prefilled.value;
    }
    const decoded = await decode(parts, run, prompt, way, kvSource, relay);
    if (decoded.isOk) {
        return ok(decoded.value);
    }
    const failure = decoded.error;
    if (kvSource && !hasBeenFetched(failure)) {
        releaseKv(parts, run, kvSource);
    }
    relay.dropPartialEvent();
    return err({ target: way.decode.target, failure, judged: failure });
}

/** Reading a prompt makes no answer, so it may be repeated whatever the route says. */
function toRepeatable(failure: Failure): Failure {
    return { ...failure, verdict: ExecutionVerdict.NotRun };
}

async function prefill(
    parts: ForwardingParts,
    run: CallRun,
    prompt: PromptDescription,
    way: PromptPlacement,
    step: PlacedStep,
): Promise<Result<KvSource, Failure>> {
    const startedAt = parts.clock.monotonicNow();
    const reply = await sendToTarget(parts, run, {
        target: step.target,
        terms: { prefillOnly: true, fetchKvFrom: step.fetchFrom?.address, urgency: urgencyOf(run, way) },
        isRepeatable: true,
        cost: { work: step.work, isDeferred: way.isDeferred, tokens: prompt.promptTokens },
    });
    if (reply.isErr) {
        return err(reply.error);
    }
    const { head, body } = reply.value;
    if (head.status >= firstFailureStatus) {
        const message = `The engine did not read the prompt and answered with status ${head.status}.`;
        return err(mayHaveRun(FailureReason.TargetFailed, message));
    }
    notePrefill(parts, run, prompt, step, parts.clock.monotonicNow() - startedAt);
    parts.caches.record(step.target.targetId, prompt.parts, run.service.engine?.kvTokens ?? 0);
    return parts.protocol.readKvHandle(body).map(handle => ({ address: step.target.address, handle }));
}

async function decode(
    parts: ForwardingParts,
    run: CallRun,
    prompt: PromptDescription,
    way: PromptPlacement,
    kvSource: KvSource | undefined,
    relay: EventRelay,
): Promise<Result<CallAnswer, Failure>> {
    const { target, work, fetchFrom } = way.decode;
    const startedAt = parts.clock.monotonicNow();
    const reply = await sendToTarget(parts, run, {
        target,
        terms: {
            kvSource,
            fetchKvFrom: fetchFrom?.address,
            urgency: urgencyOf(run, way),
            lastEventId: relay.lastEventId(),
        },
        isRepeatable: isRepeatable(run.route),
        cost: { work, isDeferred: way.isDeferred, tokens: countTokens(prompt) },
        onPiece: (head, piece) => relay.take(head.status, head.forwardedFields, piece),
        onFirstByte: () => {
            if (!kvSource) {
                notePrefill(parts, run, prompt, way.decode, parts.clock.monotonicNow() - startedAt);
            }
        },
    });
    if (reply.isErr) {
        if (hasReached(reply.error)) {
            run.sentTo.add(target.targetId);
        }
        return err(reply.error);
    }
    run.sentTo.add(target.targetId);
    parts.caches.record(target.targetId, prompt.parts, run.service.engine?.kvTokens ?? 0);
    const meanPause = run.exchange.meanPause();
    if (meanPause !== undefined) {
        parts.eventIntervals.observe(run.service.name, meanPause);
    }
    return concludeStream(run, relay, reply.value);
}

/** Learns from the time that an engine took to prefill, its queue included. */
function notePrefill(
    { slowdowns, prefillRates }: ForwardingParts,
    run: CallRun,
    { promptTokens }: PromptDescription,
    { target, wait, work, keptTokens }: PlacedStep,
    milliseconds: number,
): void {
    slowdowns.observe(target.targetId, wait, work, milliseconds);
    if (wait <= work * mostWaitFraction) {
        const own = normalizePrefillMilliseconds(milliseconds, target.stage === EngineStage.Decode);
        prefillRates.observe([run.service.name, promptTokens - keptTokens, keptTokens, Math.round(own)]);
    }
}

/** A target that refused the call has not fetched the cache, or can't: then it lapses by itself soon. */
function hasBeenFetched(failure: Failure): boolean {
    return failure.verdict !== ExecutionVerdict.NotRun;
}

/** Frees a cache that nobody will fetch; failing that, it lapses by itself. */
function releaseKv(parts: ForwardingParts, run: CallRun, source: KvSource): void {
    const controller = new AbortController();
    const timer = setTimeout(() => controller.abort(lateRelease), releaseMilliseconds);
    const sink = { onHead: () => undefined, onChunk: () => undefined };
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
                request: run.call.callId,
                address: source.address,
                reason: result.error.message,
            });
        }
    });
}

/** Calls that will be late anyway go behind all that can still be on time. */
function urgencyOf(run: CallRun, way: PromptPlacement): number {
    const urgency = firstUrgency + Math.min(run.route.priority, mostPriorities - 1);
    return way.isDeferred ? urgency + mostPriorities : urgency;
}

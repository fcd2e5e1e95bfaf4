import { EventKind, type Failure, FailureReason, mayHaveRun, notRun } from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import {
    type Engine,
    GeneratePart,
    type KvHandle,
    type StreamEnd,
    type StreamEvent,
    StreamEventKind,
} from "../ports/engine.js";
import { RunEnd } from "../process/crashes/index.js";
import type { Placement } from "../process/routing/index.js";
import type { AnswerContext } from "./answer/answerContext.js";
import { cancelStream } from "./answer/relayStream.js";
import { describeRunEnd, describeRunTarget } from "./guardedRun.js";
import type { RequestParts } from "./requestParts.js";

/** A stream that an engine has accepted. */
export interface DispatchedStream {
    readonly engine: Engine;
    readonly streamId: string;
    readonly part: GeneratePart;
    readonly events: AsyncIterable<StreamEvent>;
    /** Ends the count of running requests at the target. */
    leave(): void;
    /** Records how the run ended. */
    endRun(end: RunEnd): void;
}

/** A completed prefill, and the stream that retains its KV cache. */
interface PrefilledPrompt {
    readonly engine: Engine;
    readonly streamId: string;
    readonly kvHandle: KvHandle;
}

/** The end mark of a prefill whose KV cache can be imported. */
type PrefillEnd = StreamEnd & { readonly kvHandle: KvHandle; };

/**
 * Sends the request to the engines of the placement and checks right before each part whether the engine accepts new
 * work. If prefill and decode are at two engines and one of them fails, the decode engine runs the whole request.
 */
export async function dispatch(
    parts: RequestParts,
    context: AnswerContext,
    placement: Placement,
): Promise<Result<DispatchedStream, Failure>> {
    const { prefillEngine, engine } = placement;
    if (prefillEngine === undefined || prefillEngine === engine) {
        return dispatchPart(parts, context, placement, engine, GeneratePart.Whole);
    }
    const prefilled = await prefill(parts, context, placement, prefillEngine);
    if (prefilled.isErr) {
        context.avoid.add(prefillEngine);
        return context.signal.aborted
            ? err(prefilled.error)
            : dispatchWholeInstead(parts, context, placement, prefilled.error);
    }
    const { kvHandle, streamId } = prefilled.value;
    const decoded = await dispatchPart(parts, context, placement, engine, GeneratePart.Decode, kvHandle);
    if (decoded.isOk) {
        return decoded;
    }
    cancelStream(parts, prefilled.value.engine, streamId);
    return context.signal.aborted ? decoded : dispatchWholeInstead(parts, context, placement, decoded.error);
}

/**
 * Sends the whole request to the decode engine, after separate prefill and decode have failed. Fails with the cause if the
 * retry budget is used up.
 */
export async function dispatchWholeInstead(
    parts: RequestParts,
    context: AnswerContext,
    placement: Placement,
    cause: Failure,
): Promise<Result<DispatchedStream, Failure>> {
    if (!parts.retryBudget.tryAcquire()) {
        return err(cause);
    }
    parts.eventLog.record(EventKind.RequestRetried, {
        request: context.request.requestId,
        engine: placement.engine,
        reason: cause.reason,
        part: GeneratePart.Whole,
    });
    return dispatchPart(parts, context, placement, placement.engine, GeneratePart.Whole);
}

/** Sends one part. There must be no await between the check of the gate and the send. */
async function dispatchPart(
    parts: RequestParts,
    context: AnswerContext,
    placement: Placement,
    engineName: string,
    part: GeneratePart,
    kvHandle?: KvHandle,
): Promise<Result<DispatchedStream, Failure>> {
    const engine = parts.targets.engine(engineName);
    if (!engine || !parts.gate.isOpen(engineName)) {
        return err(notRun(FailureReason.NoTarget, "The chosen engine has just stopped taking new work."));
    }
    const { request, progress } = context;
    const streamId = parts.ids.next("str");
    const leave = parts.gate.enter(engineName);
    const endRun = parts.crashGuard.beginRun(describeRunTarget(parts, engineName), request.guarded);
    placement.recordStream(engineName, streamId);
    parts.eventLog.record(EventKind.RequestDispatched, {
        request: request.requestId,
        engine: engineName,
        stream: streamId,
        part,
        generation: request.generation,
    });
    const events = await engine.generate({
        streamId,
        part,
        model: request.profile.model,
        adapter: request.profile.adapter,
        prompt: request.body.prompt,
        promptBlocks: request.promptBlocks,
        maxOutputTokens: request.maxOutputTokens,
        priority: request.profile.priority,
        deadline: request.totalDeadline,
        kvHandle,
        sampling: request.body.sampling,
        ...(progress.offset > 0 && { startOffset: progress.offset, precedingText: progress.text }),
    }, context.signal);
    if (events.isErr) {
        leave();
        endRun(describeRunEnd(events.error, context.signal.aborted));
        return err(events.error);
    }
    return ok({ engine, streamId, part, events: events.value, leave, endRun });
}

/** Runs the prefill part to its end and returns the handle of its KV cache. */
async function prefill(
    parts: RequestParts,
    context: AnswerContext,
    placement: Placement,
    engineName: string,
): Promise<Result<PrefilledPrompt, Failure>> {
    const stream = await dispatchPart(parts, context, placement, engineName, GeneratePart.Prefill);
    if (stream.isErr) {
        return err(stream.error);
    }
    const { engine, streamId, events, leave, endRun } = stream.value;
    const end = await readPrefillEnd(events);
    leave();
    // A prefill alone does not show that the request runs without harm.
    endRun(end.isErr ? describeRunEnd(end.error, context.signal.aborted) : RunEnd.Settled);
    if (end.isErr) {
        cancelStream(parts, engine, streamId);
        return err(end.error);
    }
    placement.recordPrefilled(end.value);
    return ok({ engine, streamId, kvHandle: end.value.kvHandle });
}

async function readPrefillEnd(events: AsyncIterable<StreamEvent>): Promise<Result<PrefillEnd, Failure>> {
    for await (const event of events) {
        if (event.kind === StreamEventKind.Broken) {
            return err(event.failure);
        }
        if (event.kind === StreamEventKind.End && event.kvHandle) {
            return ok({ ...event, kvHandle: event.kvHandle });
        }
    }
    return err(mayHaveRun(FailureReason.StreamBroken, "The prefill ended without a KV cache."));
}

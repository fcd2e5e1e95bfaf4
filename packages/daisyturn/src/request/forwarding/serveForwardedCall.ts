import { EventKind, ExecutionVerdict, type Failure, FailureReason, mayHaveRun, notRun } from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import type { HeldAnswer } from "../../connection/bytes/createAnswerMemory.js";
import { passReadBarrier } from "../../connection/createReadBarrier.js";
import type { ForwardExchange } from "../../connection/forwarding/forwardExchange.js";
import type { ForwardedCall } from "../../ports/forwardedCall.js";
import { CallOutcome, measureSize } from "../../process/forwarding/index.js";
import type { RouteTable } from "../../version/forwarding/createRouteTable.js";
import { CallKind, type ForwardAccount } from "../../version/forwarding/forwardingConfiguration.js";
import { startRequestLifetime } from "../requestLifetime.js";
import { type CallContext, createCallContext, estimateReturn, isRepeatable } from "./callContext.js";
import { createNoRouteFailure, findRoute } from "./checkCallHead.js";
import { checkListed } from "./checkListed.js";
import type { ForwardingParts } from "./forwardingParts.js";
import { identifyCaller } from "./identifyCaller.js";
import { refuseCall, settleVerdict } from "./refuseCall.js";
import { createRequestTrace, type RequestTrace } from "./requestTrace.js";
import { findDestination, isResumption } from "./resumption/resumeCall.js";
import { runPlainCall } from "./runPlainCall.js";
import { runPromptCall } from "./runPromptCall.js";
import type { TargetReply } from "./sending/callAttempt.js";
import { checkProcessEnd } from "./sending/checkProcessEnd.js";
import { impliesNotRun } from "./sending/dispatchGate.js";

/** The answer to a call; undefined if it was relayed to the caller as it arrived. */
type Answer = TargetReply | undefined;

const noConfigurationRetryDelayMilliseconds = 300;
const overloadRetryDelayMilliseconds = 250;
const minErrorStatus = 500;

/** Serves one forwarded call: finds its route, sends it to targets, and answers or refuses it. */
export async function serveForwardedCall(
    parts: ForwardingParts,
    call: ForwardedCall,
    exchange: ForwardExchange,
): Promise<void> {
    const { eventLog, sampledCalls, clock } = parts;
    const { callId, arrivedAt } = call;
    const now = () => clock.monotonicNow();
    const trace = createRequestTrace({ eventLog, sampledCalls, callId, arrivedAt, now });
    await passReadBarrier(parts.readBarrier, clock);
    const started = await startCall(parts, call, exchange, trace);
    if (started.isErr) {
        const isRouted = started.error.reason === FailureReason.UnknownOrigin
            || started.error.reason === FailureReason.NoTarget;
        recordEnd(parts, trace, undefined, isRouted ? CallKind.Stream : "unrouted", started.error);
        refuseCall(exchange, started.error, parts.clock);
        return;
    }
    const { context, end } = started.value;
    recordRequest(parts, context.service.name);
    const answer = (await runCall(parts, context)).andThen(reply => checkStatus(context, reply));
    context.arrivals.end();
    end();
    const failure = answer.isErr ? addRetryTime(parts, context, settleVerdict(exchange, answer.error)) : undefined;
    if (failure?.reason === FailureReason.TargetFailed || failure?.reason === FailureReason.CrashesTargets) {
        trace.addSummaryFields({ fingerprint: context.guarded.fingerprint() });
    }
    recordEnd(parts, trace, context, context.route.kind, failure, answer.unwrapOr(undefined));
    if (failure) {
        refuseCall(exchange, failure, parts.clock);
    }
    else if (answer.isOk && answer.value) {
        const { head, body } = answer.value;
        exchange.answer(head.status, head.forwardedFields, body);
    }
}

/** Creates the context of a call. The configuration that is active at its arrival applies until its end. */
async function startCall(
    parts: ForwardingParts,
    received: ForwardedCall,
    exchange: ForwardExchange,
    trace: RequestTrace,
): Promise<Result<{ context: CallContext; end: () => void; }, Failure>> {
    const table = parts.configurationManager.current();
    if (!table) {
        const retryAt = parts.clock.wallNow() + noConfigurationRetryDelayMilliseconds;
        return err(notRun(FailureReason.OutOfService, "This process knows no configuration yet.", retryAt));
    }
    const route = findRoute(table, received);
    if (!route) {
        return err(createNoRouteFailure());
    }
    const identified = identifyCaller(parts, table, route, received);
    if (identified.isErr) {
        return err(identified.error);
    }
    const call = attachAccount(table, received, identified.value);
    trace.addSummaryFields({ account: call.account });
    const destination = await findDestination(parts, route, call, trace);
    if (destination.isErr) {
        return err(destination.error);
    }
    if (!destination.value) {
        return err(createNoRouteFailure());
    }
    const { service: serviceName, softwareVersion } = destination.value;
    const service = table.configuration.services.get(serviceName) ?? { name: serviceName };
    const pauseAim = table.minPauseAim(serviceName);
    const deadline = Math.min(call.deadline, call.arrivedAt + route.timeoutMilliseconds);
    const wallDeadline = parts.clock.wallNow() + deadline - parts.clock.monotonicNow();
    const lifetime = startRequestLifetime(parts.clock, exchange.signal, wallDeadline);
    trace.record(EventKind.RequestAccepted, {
        route: route.name,
        service: serviceName,
        generation: table.configuration.version,
        remaining: Math.round(deadline - parts.clock.monotonicNow()),
        tokens: call.prompt?.promptTokens,
    });
    trace.addSummaryFields({
        route: route.name,
        tokens: call.prompt?.promptTokens,
        size: call.prompt && measureSize(call.prompt),
    });
    return ok({
        context: createCallContext({
            call,
            route,
            priority: identified.value?.priority ?? route.priority,
            service,
            pauseAim,
            exchange,
            heldAnswer: openHeldAnswer(parts, call, exchange),
            signal: lifetime.signal,
            deadline,
            trace,
            isResumption: isResumption(route, call),
            softwareVersion,
        }),
        end: lifetime.end,
    });
}

/** Opens the memory of an answer, which is held until the caller has it or is gone. */
function openHeldAnswer(
    { answerMemory, eventLog }: ForwardingParts,
    { callId, deadline }: ForwardedCall,
    exchange: ForwardExchange,
): HeldAnswer {
    const held = answerMemory.open(deadline, () => {
        eventLog.record(EventKind.AnswerGivenUp, { request: callId, reason: "unread" });
        exchange.abort();
    });
    void exchange.closed.then(held.close);
    return held;
}

/** Adds the caller's account, and removes the key where the configuration has accounts: no target receives it. */
function attachAccount(
    { accounts }: RouteTable,
    call: ForwardedCall,
    account: ForwardAccount | undefined,
): ForwardedCall {
    return accounts ? { ...call, account: account?.name, credentialFields: [] } : call;
}

async function runCall(parts: ForwardingParts, context: CallContext): Promise<Result<Answer, Failure>> {
    if (context.signal.aborted) {
        return err(context.signal.reason as Failure);
    }
    const ending = checkProcessEnd(parts, context);
    if (ending) {
        return err(ending);
    }
    const listed = checkListed(parts, context);
    if (listed.isErr) {
        return err(listed.error);
    }
    const { prompt } = context.call;
    const answer = prompt && context.service.engine
        ? await runPromptCall(parts, context, prompt)
        : await runPlainCall(parts, context);
    return answer.map(({ isRelayed, reply }) => isRelayed ? undefined : reply);
}

/**
 * A target's own status may promise that the call has not run, although the target has run it. Where the call must not run
 * again, that promise goes before the target's status.
 */
function checkStatus({ route, exchange }: CallContext, reply: Answer): Result<Answer, Failure> {
    const isTrue = !reply || !impliesNotRun(reply.head.status) || isRepeatable(route)
        || exchange.gate.verdict() === ExecutionVerdict.NotRun;
    if (isTrue) {
        return ok(reply);
    }
    const message = `The target answered with status ${reply.head.status} and may have run the call.`;
    return err(mayHaveRun(FailureReason.TargetFailed, message));
}

function recordRequest({ budget, arrivalCounts, metrics }: ForwardingParts, service: string): void {
    budget.recordRequest(service);
    arrivalCounts.recordRequest(service);
    metrics.recordRequest(service);
}

/** Adds a retry time to a failure that has none, if the request has not run: a short one, unless all targets rest. */
function addRetryTime(parts: ForwardingParts, { service }: CallContext, failure: Failure): Failure {
    const isUnchanged = failure.retryAt !== undefined || failure.verdict !== ExecutionVerdict.NotRun;
    const delay = estimateReturn(parts, service.name) ?? overloadRetryDelayMilliseconds;
    return isUnchanged ? failure : { ...failure, retryAt: parts.clock.wallNow() + delay };
}

/** Counts the call, and logs its whole trace if it was not answered on time or is sampled. */
function recordEnd(
    parts: ForwardingParts,
    trace: RequestTrace,
    context: CallContext | undefined,
    kind: string,
    failure: Failure | undefined,
    reply?: Answer,
): void {
    const arrivedAt = context?.call.arrivedAt ?? parts.clock.monotonicNow();
    const milliseconds = (context?.exchange.firstByteAt() ?? parts.clock.monotonicNow()) - arrivedAt;
    const longestPause = context?.exchange.longestPause() ?? 0;
    const outcome = determineOutcome(context, milliseconds, failure, reply);
    parts.metrics.recordCall(kind, outcome, milliseconds, longestPause);
    parts.metrics.recordAccountCall(context?.call.account, outcome);
    if (context && failure?.verdict !== ExecutionVerdict.NotRun) {
        const now = parts.clock.monotonicNow();
        parts.runDurations.record(context.route.name, now - arrivedAt, now);
    }
    if (context?.call.prompt) {
        parts.sizeCounts.record(context.route.name, measureSize(context.call.prompt), isServed(outcome));
    }
    trace.recordEnd(failure ? eventKindOfFailure(failure) : EventKind.RequestAnswered, {
        outcome,
        firstByte: Math.round(milliseconds),
        aim: context?.route.latencyAimMilliseconds,
        longestPause: Math.round(longestPause),
        pauseAim: context?.route.pauseAimMilliseconds,
        status: reply?.head.status,
        reason: failure?.reason,
        verdict: failure?.verdict,
        cause: failure?.message,
    });
    trace.end(outcome === CallOutcome.OnTime);
}

function isServed(outcome: CallOutcome): boolean {
    return outcome === CallOutcome.OnTime || outcome === CallOutcome.Late || outcome === CallOutcome.Paused;
}

function eventKindOfFailure(failure: Failure): EventKind {
    return failure.reason === FailureReason.Cancelled ? EventKind.RequestCancelled : EventKind.RequestRefused;
}

function determineOutcome(
    context: CallContext | undefined,
    milliseconds: number,
    failure: Failure | undefined,
    reply: Answer,
): CallOutcome {
    if (failure) {
        if (failure.reason === FailureReason.Cancelled) {
            return CallOutcome.Cancelled;
        }
        if (context?.exchange.isHeadSent()) {
            return CallOutcome.BrokenOff;
        }
        return failure.verdict === ExecutionVerdict.NotRun ? CallOutcome.Refused : CallOutcome.Failed;
    }
    if (reply && reply.head.status >= minErrorStatus) {
        return CallOutcome.TargetError;
    }
    if (milliseconds > (context?.route.latencyAimMilliseconds ?? Infinity)) {
        return CallOutcome.Late;
    }
    const isPaused = (context?.exchange.longestPause() ?? 0) > (context?.route.pauseAimMilliseconds ?? Infinity);
    return isPaused ? CallOutcome.Paused : CallOutcome.OnTime;
}
